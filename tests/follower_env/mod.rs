//! Links to instances under test, as another instance has them that follows them.

#![allow(dead_code, clippy::allow_attributes, reason = "each test file uses its own part of the environment")]

use std::{net::SocketAddr, time::Duration};

use arbutusshelf::peer::{
    frame::{Decoder, Frame, PROTOCOL_VERSION, StoreState, StoreSubscription, encode},
    link::send_all,
};
use bytes::Bytes;
use h2::{RecvStream, SendStream, client};
use hyper::Request;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Time within which an instance must state a change.
pub const MAX_DELAY: Duration = Duration::from_secs(5);

/// A link that follows an instance, as a build does that knows no patches.
pub struct Subscriber {
    received: RecvStream,
    decoder: Decoder,
    sending: SendStream<Bytes>,
    _connection: JoinHandle<()>,
}

impl Subscriber {
    /// Opens the link.
    pub async fn open(address: SocketAddr, wants_rows: bool) -> Self {
        let stream = TcpStream::connect(address).await.expect("the instance accepts links");
        let (sender, connection) = client::handshake(stream).await.expect("the handshake succeeds");
        let connection = tokio::spawn(async move {
            let _ended = connection.await;
        });
        let mut sender = sender.ready().await.expect("the link is open");
        let request = Request::post("http://peer/store").body(()).expect("a request");
        let (response, mut sending) = sender.send_request(request, false).expect("the stream opens");
        let subscription = StoreSubscription {
            protocol_version: PROTOCOL_VERSION,
            instance: "subscriber".parse().expect("a name"),
            routing: None,
            targets: None,
            wants_rows,
            instances: vec!["subscriber".parse().expect("a name")],
        };
        let frame = encode(&Frame::StoreSubscription(subscription));
        send_all(&mut sending, frame).await.expect("the subscription is sent");
        let received = response.await.expect("the subscription is accepted").into_body();
        Self { received, decoder: Decoder::default(), sending, _connection: connection }
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &Frame) {
        send_all(&mut self.sending, encode(frame)).await.expect("the link works");
    }

    /// Returns the next frame.
    pub async fn next_frame(&mut self) -> Frame {
        loop {
            if let Some(frame) = self.decoder.next_frame().expect("a valid frame") {
                return frame;
            }
            let chunk = self.received.data().await.expect("the link stays").expect("the link works");
            self.received.flow_control().release_capacity(chunk.len()).expect("capacity is released");
            self.decoder.push(&chunk);
        }
    }

    /// Returns all frames up to the first state that is as `wanted`, with that.
    pub async fn frames_until(&mut self, wanted: impl Fn(&StoreState) -> bool) -> Vec<Frame> {
        let mut frames = Vec::new();
        let receive = async {
            loop {
                frames.push(self.next_frame().await);
                if let Some(Frame::StoreState(state)) = frames.last()
                    && wanted(state)
                {
                    return;
                }
            }
        };
        timeout(MAX_DELAY, receive).await.expect("the state comes in time");
        frames
    }
}
