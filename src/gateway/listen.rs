//! Callers' connections: limits, idle time, and their end when the instance leaves.

use std::{convert::Infallible, pin::pin, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{Gateway, call};
use crate::kernel::Phase;

/// Least buffer for a request head that the HTTP library takes.
const LEAST_HEAD_BYTES: usize = 8 << 10;

/// Time for which a connection may be idle while no routing table states it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which connections wait at the start until routes and targets are known, rather than be refused: less than
/// the second that callers give a connection.
const KNOWN_WAIT: Duration = Duration::from_millis(400);

/// Takes connections from callers; runs until dropped.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener) {
    // What is still unknown then is told to each caller.
    let _known_or_timeout = timeout(KNOWN_WAIT, gateway.wait_ready()).await;
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(serve(Arc::clone(&gateway), stream));
            }
            Err(e) => {
                log::warn!("event=accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a caller's connection until either side ends it.
async fn serve(gateway: Arc<Gateway>, stream: TcpStream) {
    let _connected = gateway.in_progress().connect();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=nodelay-failed error={:?}", e.to_string());
    }
    let limits = gateway.routing().map(|table| table.limits);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout))
        .max_buf_size(limits.map_or(LEAST_HEAD_BYTES, |l| l.max_head_bytes.max(LEAST_HEAD_BYTES)));
    let shared = Arc::clone(&gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(call::handle(gateway, request).await) }
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
