//! HTTP/1.1 server shared by the stand-ins, with connection limits and connections that can be frozen.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// Error with which a stand-in makes the server close the connection, before the response or within its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stand-in closed the connection on purpose")]
pub struct ConnectionAborted;

/// Response of a stand-in; its body may fail part-way to simulate a lost connection.
pub type StandInResponse = Response<BoxBody<Bytes, ConnectionAborted>>;

/// Limits and delays that a server applies to its connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum number of open connections; further ones are closed as soon as they are accepted.
    pub max_connections: usize,
    /// Delay between accepting a connection and reading from it.
    pub setup_delay: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self { max_connections: usize::MAX, setup_delay: Duration::ZERO }
    }
}

/// Connections of a server: counts them and can freeze those that are open.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    /// One flag per open connection, true if it is frozen; a flag is dropped with its connection.
    open: Mutex<Vec<Weak<AtomicBool>>>,
    accepted_count: AtomicUsize,
    refused_count: AtomicUsize,
}

impl ConnectionTable {
    /// Freezes every open connection for good: nothing more is read or written, and none is closed.
    pub fn freeze_open(&self) {
        for frozen in self.lock().iter().filter_map(Weak::upgrade) {
            frozen.store(true, Ordering::Release);
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().iter().filter(|s| s.strong_count() > 0).count()
    }

    /// Returns the number of connections served since the start.
    pub fn accepted(&self) -> usize {
        self.accepted_count.load(Ordering::Acquire)
    }

    /// Returns the number of connections closed because [`ConnectionLimits::max_connections`] were open.
    pub fn refused(&self) -> usize {
        self.refused_count.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Weak<AtomicBool>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection and returns its freeze flag, or `None` if the limit is reached.
    fn register(&self, limits: ConnectionLimits) -> Option<Arc<AtomicBool>> {
        let mut open = self.lock();
        open.retain(|flag| flag.strong_count() > 0);
        if open.len() >= limits.max_connections {
            self.refused_count.fetch_add(1, Ordering::AcqRel);
            return None;
        }
        let freeze_flag = Arc::new(AtomicBool::new(false));
        open.push(Arc::downgrade(&freeze_flag));
        self.accepted_count.fetch_add(1, Ordering::AcqRel);
        Some(freeze_flag)
    }
}

/// TCP stream that neither reads nor writes once its flag is set.
struct FreezableStream {
    inner: TcpStream,
    frozen: Arc<AtomicBool>,
}

impl FreezableStream {
    fn poll<T>(self: Pin<&mut Self>, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<T>) -> Poll<T> {
        let this = self.get_mut();
        // The waker of a frozen stream is dropped, so the stream stays pending for good.
        if this.frozen.load(Ordering::Acquire) { Poll::Pending } else { poll(Pin::new(&mut this.inner)) }
    }
}

impl AsyncRead for FreezableStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.poll(|inner| inner.poll_read(cx, buffer))
    }
}

impl AsyncWrite for FreezableStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        self.poll(|inner| inner.poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.poll(|inner| inner.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.poll(|inner| inner.poll_shutdown(cx))
    }
}

/// A running HTTP server; it and its connections are closed when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its open connections and their counts.
    pub connections: Arc<ConnectionTable>,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves HTTP/1.1 on `address`; with port 0 the system chooses the port.
///
/// If `handle` returns an error, the connection is closed without a response.
///
/// # Errors
///
/// The I/O error of binding the address.
pub async fn serve<F, R>(address: SocketAddr, handle: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<StandInResponse, ConnectionAborted>> + Send + 'static,
{
    serve_with_limits(address, ConnectionLimits::default(), handle).await
}

/// Serves as [`serve`] does, with limits on the connections.
///
/// # Errors
///
/// The I/O error of binding the address.
pub async fn serve_with_limits<F, R>(
    address: SocketAddr,
    limits: ConnectionLimits,
    handle: F,
) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<StandInResponse, ConnectionAborted>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    let table = Arc::new(ConnectionTable::default());
    let connections = Arc::clone(&table);
    let task = tokio::spawn(async move {
        let mut served = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let Some(frozen) = table.register(limits) else { continue };
            let _best_effort = stream.set_nodelay(true);
            let stream = FreezableStream { inner: stream, frozen };
            let handle = Arc::clone(&handle);
            let service = service_fn(move |request| handle(request));
            served.spawn(async move {
                if !limits.setup_delay.is_zero() {
                    tokio::time::sleep(limits.setup_delay).await;
                }
                // An error is a fault that was injected on purpose, or the client closing the connection.
                let _aborted = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            while served.try_join_next().is_some() {}
        }
    });
    Ok(Server { address, connections, task })
}

/// Creates a response whose whole body is known.
pub fn full_response(status: StatusCode, body: impl Into<Bytes>) -> StandInResponse {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body; it has no content type.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> StandInResponse {
    full_response(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns the percent-decoded value of a query parameter, if the request has it.
pub fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(percent_decode))
}

/// Decodes percent-encoded text; malformed escapes stay as they are.
pub fn percent_decode(text: &str) -> String {
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
