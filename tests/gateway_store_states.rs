//! What an instance that reads the store states about it to its followers.

mod gateway_env;

use std::{net::SocketAddr, time::Duration};

use arbutusshelf::peer::{
    frame::{Decoder, Frame, PROTOCOL_VERSION, StoreState, StoreSubscription, encode},
    link::send_all,
};
use arbutusshelf_bench::relay::{LinkFault, Relay};
use bytes::Bytes;
use gateway_env::TestDeployment;
use h2::{RecvStream, SendStream, client};
use hyper::Request;
use serde_json::json;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Time within which an instance must state a change.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// A link that follows an instance, as a build does that knows no patches.
struct Subscriber {
    received: RecvStream,
    decoder: Decoder,
    _sending: SendStream<Bytes>,
    _connection: JoinHandle<()>,
}

impl Subscriber {
    async fn open(address: SocketAddr, wants_rows: bool) -> Self {
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
        Self { received, decoder: Decoder::default(), _sending: sending, _connection: connection }
    }

    async fn next_frame(&mut self) -> Frame {
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
    async fn frames_until(&mut self, wanted: impl Fn(&StoreState) -> bool) -> Vec<Frame> {
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

// Guards against live targets that followers remove after an outage of the store, because they learn too late that it
// is back: a seed that reads the targets again must say so, although it can't read the routing table yet.
#[tokio::test]
async fn that_the_targets_are_read_is_told_before_the_routing_table_is_read() {
    let deployment = TestDeployment::start().await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let seed = deployment.gateway("seed", &json!({"store_address": relay.address})).await;
    let mut subscriber = Subscriber::open(seed.peers, false).await;
    subscriber.frames_until(|state| !state.is_store_lost && state.confirmed_age_ms.is_some()).await;
    deployment.store.set_delay_at(relay.address, "op", Duration::from_mins(1));
    relay.set_fault(LinkFault::Down);
    subscriber.frames_until(|state| state.is_store_lost).await;
    // The first call for each table may have failed at another moment.
    tokio::time::sleep(Duration::from_secs(1)).await;
    relay.set_fault(LinkFault::None);
    let frames = subscriber.frames_until(|state| !state.is_store_lost).await;
    let is_unread = |frame: &Frame| matches!(frame, Frame::RoutingUnreadFor(Some(_)));
    assert!(frames.iter().any(is_unread), "{frames:?}");
    let last_two = &frames[frames.len() - 2..];
    assert!(matches!(last_two, [Frame::StoreAnsweredFor(_), Frame::StoreState(_)]), "{frames:?}");
}

// Guards against followers that leave a seed for good which could not read the routing table for a while.
#[tokio::test]
async fn that_the_routing_table_is_read_again_is_told() {
    let deployment = TestDeployment::start().await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let seed = deployment.gateway("seed", &json!({"store_address": relay.address})).await;
    let mut subscriber = Subscriber::open(seed.peers, false).await;
    let is_stated = |frames: &[Frame], is_unread: bool| {
        let stated = |f: &Frame| matches!(f, Frame::RoutingUnreadFor(time) if time.is_some() == is_unread);
        frames.iter().any(stated)
    };
    for (delay, is_unread) in [(Duration::from_mins(1), true), (Duration::ZERO, false)] {
        deployment.store.set_delay_at(relay.address, "op", delay);
        let stated = async {
            loop {
                let frames = subscriber.frames_until(|state| !state.is_store_lost).await;
                if is_stated(&frames, is_unread) {
                    return;
                }
            }
        };
        timeout(MAX_DELAY, stated).await.expect("it is stated in time");
    }
}

// Guards against instances of an earlier build that get no routing table from one of this build: they skip frames that
// they don't know.
#[tokio::test]
async fn who_takes_no_patches_gets_whole_rows() {
    let deployment = TestDeployment::start().await;
    let seed = deployment.gateway("seed", &json!({})).await;
    let in_force = || async { seed.logged(&["event=routing-in-force"]) };
    deployment.wait_until("routes are in force", in_force).await;
    let mut subscriber = Subscriber::open(seed.peers, true).await;
    let is_routing = |frame: &Frame| matches!(frame, Frame::StoreRows(rows) if !rows.of_targets);
    let received = async {
        loop {
            let frame = subscriber.next_frame().await;
            assert!(!matches!(frame, Frame::RoutingRowPatch(_)), "{frame:?}");
            if is_routing(&frame) {
                return;
            }
        }
    };
    timeout(MAX_DELAY, received).await.expect("the routing table comes in time");
}
