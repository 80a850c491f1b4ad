//! Connections to targets: one request at a time each, reused while they are proven alive.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use super::WholeBody;
use crate::collections::HashMap;

/// Time after its last answer for which an idle connection may be used again.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Time after its last answer for which a connection may carry an at-most-once request.
const PROVEN_LIMIT: Duration = Duration::from_millis(50);

/// Time to open a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept to one target.
const MAX_IDLE: usize = 16;

/// A connection that carries no request.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<WholeBody>,
    answered_at: Instant,
}

/// One connection that carries one request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<WholeBody>,
}

/// How a send went, as evidence.
#[derive(Debug)]
pub enum Sent {
    /// The head of an answer came.
    Answered(Response<Incoming>),
    /// The request was handed back; none of it was sent.
    Unsent,
    /// The request may have been sent.
    Lost,
}

impl Connection {
    /// Sends the connection's one request.
    pub async fn send(&mut self, request: Request<WholeBody>) -> Sent {
        match self.sender.try_send_request(request).await {
            Ok(response) => Sent::Answered(response),
            Err(mut e) => {
                if e.take_message().is_some() {
                    Sent::Unsent
                } else {
                    Sent::Lost
                }
            }
        }
    }
}

/// Idle connections to all targets.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Connections {
    /// Returns a connection that may carry a request; `once` asks for one proven alive.
    pub async fn checkout(&self, address: SocketAddr, once: bool) -> Option<Connection> {
        let limit = if once { PROVEN_LIMIT } else { IDLE_LIMIT };
        while let Some(idle) = self.pop(address) {
            let fresh = idle.answered_at.elapsed() < limit;
            let mut sender = idle.sender;
            if fresh && !sender.is_closed() && sender.ready().await.is_ok() {
                return Some(Connection { address, sender });
            }
        }
        let opened = timeout(OPEN_TIMEOUT, open(address)).await.ok()??;
        Some(Connection { address, sender: opened })
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    /// Takes back a connection whose answer is complete.
    pub fn give_back(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_target = idle.entry(connection.address).or_default();
        if of_target.len() < MAX_IDLE {
            of_target.push(Idle { sender: connection.sender, answered_at: Instant::now() });
        }
    }
}

async fn open(address: SocketAddr) -> Option<SendRequest<WholeBody>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("event=target-connection-ended target={address} error={:?}", e.to_string());
        }
    });
    Some(sender)
}
