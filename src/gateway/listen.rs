//! Accepts and serves callers' connections, with limits on size and time, and closes them on shutdown.

use std::{future::pending, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::HeaderValue,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout, timeout_at},
};

use super::{
    Gateway,
    call::{self, RequestSource},
    caller_stream::{CallerStream, CallerTimeLimits, GuardedBody, HeadTimer},
    response::{ResponseBody, error_response},
};
use crate::{
    error::ErrorKind,
    kernel::Phase,
    peer::forward::{FORWARD, FORWARDED_TO, ForwardHeader},
    proxy::inbound::MAX_RETRYABLE_BODY_BYTES,
};

/// Smallest buffer for a request head that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Most bytes that an instance adds to a head when it forwards a request.
const MAX_ADDED_HEAD_BYTES: usize = 4 << 10;

/// Time for which a connection may be idle while there is no routing table, which otherwise sets it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that a request head may take while there is no routing table.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after accepting a connection failed, for example for lack of file descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time after the start for which connections wait for routes and targets instead of getting error
/// responses. Callers allow one second for a connection, so this must be shorter.
const MAX_START_WAIT: Duration = Duration::from_millis(400);

/// Time for which an unused connection is still read once requests are refused. A request that was there when the
/// connection was accepted is read within it.
const UNREAD_WAIT: Duration = Duration::from_millis(50);

/// Time for which connections are still accepted in the last phase of the shutdown: those that were waiting are
/// accepted within it.
pub const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// Who connects to an address of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers.
    Callers,
    /// Other instances, which forward requests of their callers.
    Instances,
}

/// Accepts connections from callers or from instances until the last phase of the shutdown.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener, audience: Audience) {
    // After a timeout, requests get error responses until routes and targets are known.
    let _ready_or_timeout = timeout(MAX_START_WAIT, gateway.wait_ready()).await;
    let mut ending = pin!(gateway.wait_phase(Phase::Ending));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut ending => break,
        };
        match accepted {
            Ok((stream, address)) => {
                tokio::spawn(serve(Arc::clone(&gateway), stream, address.ip(), audience));
            }
            Err(e) => {
                log::warn!("event=accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that wait to be accepted may have requests, which are refused; closing the listener cuts them off.
    let until = Instant::now() + BACKLOG_WAIT;
    while let Ok(Ok((stream, address))) = timeout_at(until, listener.accept()).await {
        tokio::spawn(serve(Arc::clone(&gateway), stream, address.ip(), audience));
    }
}

/// Ends a connection whose caller has left.
#[derive(Debug, Clone, Copy, Error)]
#[error("the caller has left before its request was read")]
struct CallerLeft;

/// Returns whether a part of a request's body may stay unread while its request waits for a target. What ends the
/// connection is not read either then; otherwise the HTTP library notices it.
fn may_be_read_in_part(body: &Incoming) -> bool {
    body.size_hint().exact().is_none_or(|bytes| bytes > MAX_RETRYABLE_BODY_BYTES)
}

/// Serves a connection until either side ends it.
async fn serve(gateway: Arc<Gateway>, stream: TcpStream, from: IpAddr, audience: Audience) {
    let _connected = gateway.in_progress().track_connection();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=nodelay-failed error={:?}", e.to_string());
    }
    let routing = gateway.routing();
    let limits = routing.as_ref().map(|table| table.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout);
    let caller_head_bytes =
        limits.map_or(MIN_HEAD_BUFFER_BYTES, |l| l.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES));
    let max_head_bytes = match audience {
        Audience::Callers => caller_head_bytes,
        Audience::Instances => caller_head_bytes + MAX_ADDED_HEAD_BYTES,
    };
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle_timeout).max_buf_size(max_head_bytes);
    let timer = HeadTimer::default();
    let head_timer = timer.clone();
    let longest_timeout = routing.map_or(Duration::ZERO, |table| table.longest_timeout);
    let time_limits = CallerTimeLimits {
        head: limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout),
        // A target may go on with its response until the timeout of its route.
        response: longest_timeout + idle_timeout,
    };
    let stream = CallerStream::new(stream, timer.clone(), time_limits);
    let close_watch = stream.close_watch();
    let shared = Arc::clone(&gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&shared);
        let guard = timer.head_complete();
        let close_watch = may_be_read_in_part(request.body()).then(|| close_watch.clone());
        async move {
            let handled = async {
                match audience {
                    Audience::Callers => call::handle(gateway, RequestSource::Caller(from), request).await,
                    Audience::Instances => handle_forwarded(gateway, request).await,
                }
            };
            let response = match close_watch {
                None => handled.await,
                Some(close_watch) => tokio::select! {
                    biased;
                    response = handled => response,
                    () = close_watch.closed() => return Err(CallerLeft),
                },
            };
            Ok(response.map(|body| GuardedBody { body, guard }))
        }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = gateway.wait_phase(Phase::Refusing) => {
            // A connection that is shut down before it has read anything is closed, with any request on it.
            match timeout(UNREAD_WAIT, connection.as_mut()).await {
                Ok(result) => result,
                Err(_elapsed) => {
                    connection.as_mut().graceful_shutdown();
                    tokio::select! {
                        result = connection.as_mut() => result,
                        () = wait_for_end_unused(&gateway, &head_timer) => Ok(()),
                    }
                }
            }
        }
    };
    if let Err(e) = result {
        log::debug!("event=caller-connection-ended error={:?}", e.to_string());
    }
}

/// Returns in the last phase of the shutdown if nothing has arrived on the connection. Any other connection ends with
/// the response to its request.
async fn wait_for_end_unused(gateway: &Gateway, timer: &HeadTimer) {
    gateway.wait_phase(Phase::Ending).await;
    if !timer.is_unused() {
        pending::<()>().await;
    }
}

/// Handles a request that another instance has forwarded.
async fn handle_forwarded(gateway: Arc<Gateway>, mut request: Request<Incoming>) -> Response<ResponseBody> {
    let own = gateway.config().instance.clone();
    let header = request.headers_mut().remove(FORWARD).and_then(|value| ForwardHeader::decode(&value));
    let mut response = match header {
        Some(header) if header.to == own => {
            call::handle(gateway, RequestSource::Instance(Box::new(header)), request).await
        }
        // Sent to an instance that had this address before, or by something that is none.
        _ => error_response(ErrorKind::BadRequest, None),
    };
    if let Ok(name) = HeaderValue::from_str(own.as_str()) {
        response.headers_mut().insert(FORWARDED_TO, name);
    }
    response
}
