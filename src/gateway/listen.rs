//! Accepts and serves callers' connections, with limits on size and time, and closes them on shutdown.

use std::{convert::Infallible, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{
    Gateway, call,
    head_timeout::{GuardedBody, HeadTimeoutStream, HeadTimer},
};
use crate::kernel::Phase;

/// Smallest buffer for a request head that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Time for which a connection may be idle while there is no routing table, which otherwise sets it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that a request head may take while there is no routing table.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after accepting a connection failed, for example for lack of file descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time after the start for which connections wait for routes and targets instead of getting error
/// responses. Callers allow one second for a connection, so this must be shorter.
const MAX_START_WAIT: Duration = Duration::from_millis(400);

/// Accepts connections from callers; runs until dropped.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener) {
    // After a timeout, requests get error responses until routes and targets are known.
    let _ready_or_timeout = timeout(MAX_START_WAIT, gateway.wait_ready()).await;
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve(Arc::clone(&gateway), stream, address.ip()));
            }
            Err(e) => {
                log::warn!("event=accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a caller's connection until either side ends it.
async fn serve(gateway: Arc<Gateway>, stream: TcpStream, caller: IpAddr) {
    let _connected = gateway.in_progress().track_connection();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=nodelay-failed error={:?}", e.to_string());
    }
    let limits = gateway.routing().map(|table| table.limits);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout))
        .max_buf_size(limits.map_or(MIN_HEAD_BUFFER_BYTES, |l| l.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES)));
    let timer = HeadTimer::default();
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout);
    let stream = HeadTimeoutStream::new(stream, timer.clone(), head_timeout);
    let shared = Arc::clone(&gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&shared);
        let guard = timer.head_complete();
        async move {
            let response = call::handle(gateway, caller, request).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard }))
        }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = gateway.wait_phase(Phase::Refusing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("event=caller-connection-ended error={:?}", e.to_string());
    }
}
