//! HTTP towards callers: takes requests, runs the decisions and passes answers on.

pub mod answer;
pub mod body;
pub mod call;
pub mod connection;
pub mod headers;
pub mod once;
pub mod probe;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::net::{TcpListener, TcpStream};

use self::{
    answer::{AnswerBody, refusal},
    call::{CallContext, RequestParts},
};
use crate::{
    error::ErrorKind,
    kernel::Kernel,
    plan::{RequestKind, ServiceSpec},
};

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes connections from callers; runs until dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(serve_connection(Arc::clone(&kernel), stream));
            }
            Err(e) => {
                log::warn!("event=accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(kernel: Arc<Kernel>, stream: TcpStream) {
    let _best_effort = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(kernel.config.head_timeout_ms))
        .max_buf_size(kernel.config.max_head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(kernel.config.max_head_bytes).unwrap_or(u32::MAX));
    let served = Arc::clone(&kernel);
    let service = service_fn(move |request| {
        let kernel = Arc::clone(&served);
        async move { Ok::<_, std::convert::Infallible>(handle(kernel, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = kernel.wait_refusing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("event=caller-connection-ended error={:?}", e.to_string());
    }
}

async fn handle(kernel: Arc<Kernel>, request: Request<Incoming>) -> Response<AnswerBody> {
    let _in_progress = kernel.enter();
    let mut response = match prepare(&kernel, request).await {
        Ok((context, parts)) => run(context, parts).await,
        Err(kind) => refusal(kind, None),
    };
    if kernel.is_leaving() {
        headers::announce_close(&mut response);
    }
    response
}

/// Checks a request and collects its body; nothing is sent before this is done.
async fn prepare(
    kernel: &Arc<Kernel>,
    request: Request<Incoming>,
) -> Result<(CallContext, RequestParts), ErrorKind> {
    let arrived = kernel.clock.now();
    kernel.admit()?;
    let (head, body) = request.into_parts();
    let plan = kernel.plan.current();
    let service = plan.service_for_path(head.uri.path()).ok_or(ErrorKind::UnknownService)?;
    let context = CallContext::new(kernel, service, arrived, &head)?;
    let body = collect(kernel, body).await?;
    Ok((context, RequestParts { head, body }))
}

async fn collect(kernel: &Kernel, body: Incoming) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = kernel.config.max_body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let collected = Limited::new(body, limit).collect();
    let timeout = Duration::from_millis(kernel.config.head_timeout_ms);
    match tokio::time::timeout(timeout, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(ErrorKind::BodyIncomplete),
    }
}

async fn run(context: CallContext, parts: RequestParts) -> Response<AnswerBody> {
    match context.kind {
        RequestKind::AtMostOnce => once::run(context, parts).await,
        RequestKind::Idempotent | RequestKind::Unstated => call::run(&context, &parts).await,
    }
}

/// Returns the deadline of a call: the service's, or the caller's if that is earlier.
fn deadline(service: &ServiceSpec, head: &hyper::http::request::Parts) -> Result<Duration, ErrorKind> {
    let own = Duration::from_millis(service.deadline_ms);
    match headers::deadline_ms(&head.headers)? {
        Some(stated) => Ok(own.min(Duration::from_millis(stated))),
        None => Ok(own),
    }
}

/// A whole body of known bytes.
pub type WholeBody = Full<Bytes>;
