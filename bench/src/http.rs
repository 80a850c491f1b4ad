//! The little HTTP serving that both stand-ins share.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

/// Why a stand-in ends an answer's body early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stand-in cuts the connection")]
pub struct Cut;

/// Answer of a stand-in.
pub type Answer = Response<BoxBody<Bytes, Cut>>;

/// A server that stops, with its connections, when dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves HTTP/1.1 on `address`; port 0 lets the system choose.
///
/// `handle` returning an error closes the connection without an answer.
///
/// # Errors
///
/// The I/O error of binding.
pub async fn serve<F, R>(address: SocketAddr, handle: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Answer, Cut>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _best_effort = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            let service = service_fn(move |request| handle(request));
            connections.spawn(async move {
                // A cut connection is a fault that was asked for.
                let _cut = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server { address, task })
}

/// Makes an answer of whole bytes.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Makes an answer of JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    whole(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a parameter of a request's query, percent-decoded.
pub fn query(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(decode))
}

/// Decodes percent-encoded text.
pub fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = if first == b'%' { tail.get(..2) } else { None };
        let value = escaped.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        if let Some(value) = value {
            bytes.push(value);
            rest = &tail[2..];
        } else {
            bytes.push(first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
