//! HTTP endpoints for the readiness check of the ingress and for metrics.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    Gateway,
    caller_stream::{CallerStream, CallerTimeLimits, GuardedBody, HeadTimer},
    listen::ACCEPT_PAUSE,
};

/// Path of the readiness check. The ingress, which spreads callers over the instances, sends callers only to
/// ready instances.
const READY_PATH: &str = "/ready";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time for which a connection may be idle: five readiness checks.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

const TIME_LIMITS: CallerTimeLimits =
    CallerTimeLimits { head: Duration::from_secs(3), response: Duration::from_secs(5) };

/// Accepts connections; runs until dropped.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(serve(Arc::clone(&gateway), stream));
            }
            Err(e) => {
                log::warn!("event=ready-accept-failed error={:?}", e.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream) {
    let timer = HeadTimer::default();
    let stream = CallerStream::new(stream, timer.clone(), TIME_LIMITS);
    let service = service_fn(move |request: Request<Incoming>| {
        let guard = timer.head_complete();
        let response = respond(&gateway, request.uri().path());
        async move { Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard })) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    if let Err(e) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=ready-connection-ended error={:?}", e.to_string());
    }
}

fn respond(gateway: &Gateway, path: &str) -> Response<Full<Bytes>> {
    let (status, text) = match path {
        READY_PATH => match gateway.check_ready() {
            Ok(()) => (StatusCode::OK, "ready\n".to_owned()),
            Err(kind) => (StatusCode::SERVICE_UNAVAILABLE, format!("{kind}\n")),
        },
        METRICS_PATH => match gateway.metrics.encode(gateway) {
            Ok(text) => (StatusCode::OK, text),
            Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
