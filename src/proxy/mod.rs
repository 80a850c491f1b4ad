//! HTTP proxy towards callers: accepts requests, sends them to targets and returns the responses.

pub mod at_most_once;
pub mod attempt;
pub mod body;
pub mod call;
pub mod caller;
mod caller_stream;
pub mod connection;
pub mod context;
pub mod head_limit;
pub mod headers;
pub mod inbound;
pub mod probe;
pub mod relay;
pub mod response;
pub mod stale_connection;
pub mod upload;

use std::{sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming};
use tokio::net::TcpListener;

use self::{
    call::{CallContext, RequestParts},
    response::{CallerResponse, ResponseBody, error_response},
};
use crate::{
    error::ErrorKind,
    kernel::Kernel,
    plan::{RequestKind, ServiceSpec},
};

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from callers until the future is dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(caller::serve(Arc::clone(&kernel), stream));
            }
            Err(e) => {
                log::warn!("event=accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Handles one request from a caller.
async fn handle(kernel: Arc<Kernel>, request: Request<Incoming>) -> Response<ResponseBody> {
    let _in_progress = kernel.track_request();
    let mut request_id = None;
    let caller_response = match inbound::receive(&kernel, request).await {
        Ok((context, parts)) => {
            request_id = Some(context.request_id.clone());
            run(context, parts).await
        }
        Err(kind) => error_response(kind, None),
    };
    let mut response = caller_response.into_response();
    if let Some(id) = request_id {
        headers::set_request_id(&mut response, &id);
    }
    if kernel.is_leaving() {
        headers::announce_close(&mut response);
    }
    response
}

async fn run(context: CallContext, parts: RequestParts) -> CallerResponse {
    match context.kind {
        RequestKind::AtMostOnce => at_most_once::run(context, parts).await,
        RequestKind::Idempotent => call::run(context, parts).await,
        RequestKind::Unstated => {
            // Runs in its own task so that a disconnecting caller does not cancel it: a request that must not
            // be retried should not be interrupted half-way.
            let task = tokio::spawn(call::run(context, parts));
            task.await.unwrap_or_else(|_panicked| error_response(ErrorKind::ConnectionLost, None))
        }
    }
}

/// Returns the time limit of a call: the service's deadline, or the caller's if that is shorter.
fn deadline(service: &ServiceSpec, head: &hyper::http::request::Parts) -> Result<Duration, ErrorKind> {
    let service_limit = Duration::from_millis(service.deadline_ms);
    match headers::deadline_ms(&head.headers)? {
        Some(caller_limit_ms) => Ok(service_limit.min(Duration::from_millis(caller_limit_ms))),
        None => Ok(service_limit),
    }
}
