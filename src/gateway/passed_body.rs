//! Passes on a body while it arrives, until the deadline of its call.
//!
//! A task of its own reads the body, so that a caller that takes nothing does not hold the target beyond the
//! deadline.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{
    sync::mpsc::{self, Receiver, Sender},
    time::{Instant, timeout_at},
};

use super::{exchange::SendGuard, forward::ForwardGuard};

/// Chunks that are read before the caller takes them.
const CHUNKS_AHEAD: usize = 1;

/// What is done when a body that is still arriving ends, by where it comes from.
#[derive(Debug)]
pub enum BodyGuard {
    /// From a target.
    Send(Box<SendGuard>),
    /// From another instance.
    Forward(ForwardGuard),
}

impl BodyGuard {
    fn completed(self) {
        match self {
            Self::Send(guard) => guard.completed(),
            Self::Forward(guard) => guard.completed(),
        }
    }

    /// Ends a body that broke off. What this shows of the request is found out without its caller; of a forwarded
    /// one, the other instance finds it out.
    async fn lost(self) {
        if let Self::Send(guard) = self {
            guard.lost().await;
        }
    }
}

/// A part of a body.
#[derive(Debug)]
pub enum BodyPart {
    /// Data.
    Chunk(Bytes),
    /// The end of a complete body. One that breaks off ends without it.
    End,
}

/// How the reading of a body ended.
enum ReadEnd {
    Complete,
    BrokenOff,
    CallerLeft,
}

/// Starts to read a body, until `deadline` at most, and returns its parts.
pub fn start(body: Incoming, guard: BodyGuard, deadline: Instant) -> Receiver<BodyPart> {
    let (sender, parts) = mpsc::channel(CHUNKS_AHEAD);
    tokio::spawn(async move {
        match timeout_at(deadline, read(body, &sender)).await {
            Ok(ReadEnd::Complete) => {
                guard.completed();
                // The caller may have left.
                let _taken = sender.send(BodyPart::End).await;
            }
            Ok(ReadEnd::CallerLeft) => drop(guard),
            Ok(ReadEnd::BrokenOff) | Err(_) => {
                drop(sender);
                guard.lost().await;
            }
        }
    });
    parts
}

async fn read(mut body: Incoming, sender: &Sender<BodyPart>) -> ReadEnd {
    while !body.is_end_stream() {
        let Ok(place) = sender.reserve().await else { return ReadEnd::CallerLeft };
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = sender.closed() => return ReadEnd::CallerLeft,
        };
        match frame {
            None => break,
            Some(Err(_)) => return ReadEnd::BrokenOff,
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    place.send(BodyPart::Chunk(chunk));
                }
            }
        }
    }
    ReadEnd::Complete
}
