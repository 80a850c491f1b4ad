//! One caller's connection: limits, idle timeout and graceful close.

use std::{
    convert::Infallible,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request, Version,
    body::{Body, Frame, Incoming, SizeHint},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, sleep_until},
};

use super::{
    body::BodyError, caller_stream::CallerStream, connection::READ_BUFFER_BYTES, handle,
    response::ResponseBody,
};
use crate::kernel::Kernel;

/// Time for which kept-alive connections still answer requests with `not-run` after new requests are refused.
///
/// A request that arrives while its connection is being closed gets no response, so connections are closed
/// late.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Interval between HTTP/2 keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// A closing connection without requests in progress is dropped after this many times the idle limit.
const FORCE_CLOSE_FACTOR: u32 = 2;

/// Requests in progress on one connection, and when it was last in use.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    in_progress: AtomicUsize,
    /// When the last request ended, or when the connection was opened.
    idle_since: Mutex<Instant>,
    is_http2: AtomicBool,
}

impl ConnectionActivity {
    fn new() -> Self {
        let idle_since = Mutex::new(Instant::now());
        Self { in_progress: AtomicUsize::new(0), idle_since, is_http2: AtomicBool::new(false) }
    }

    fn begin(self: &Arc<Self>, version: Version) -> ActiveRequest {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        self.is_http2.store(version == Version::HTTP_2, Ordering::Release);
        ActiveRequest(Arc::clone(self))
    }

    /// Returns whether a response of this instance may be in transit.
    pub(super) fn is_busy(&self) -> bool {
        self.in_progress.load(Ordering::Acquire) > 0
    }

    fn idle_since(&self) -> Instant {
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no request has been in progress for `limit`.
    async fn wait_idle(&self, limit: Duration) {
        loop {
            let idle_until = self.idle_since() + limit;
            let busy = self.is_busy();
            if !busy && idle_until <= Instant::now() {
                return;
            }
            let wake_at = if busy { Instant::now() + limit } else { idle_until };
            sleep_until(wake_at).await;
        }
    }
}

/// One request in progress, from its arrival until its response body has ended.
#[derive(Debug)]
struct ActiveRequest(Arc<ConnectionActivity>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        *self.0.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Response body that keeps its request counted as in progress.
struct TrackedBody {
    inner: ResponseBody,
    _active: ActiveRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

fn server_builder(kernel: &Kernel) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(kernel.config.head_timeout_ms))
        .max_buf_size(kernel.config.max_head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(READ_BUFFER_BYTES)
        .max_header_list_size(u32::try_from(kernel.config.max_head_bytes).unwrap_or(u32::MAX));
    builder
}

/// Serves a caller's connection until either side closes it.
pub async fn serve(kernel: Arc<Kernel>, stream: TcpStream) {
    let _connected = kernel.track_connection();
    let _best_effort = stream.set_nodelay(true);
    let activity = Arc::new(ConnectionActivity::new());
    let (request_activity, shared) = (Arc::clone(&activity), Arc::clone(&kernel));
    let service = service_fn(move |request: Request<Incoming>| {
        let active = request_activity.begin(request.version());
        let kernel = Arc::clone(&shared);
        async move {
            let response = handle(kernel, request).await;
            Ok::<_, Infallible>(response.map(|inner| TrackedBody { inner, _active: active }))
        }
    });
    let stream = CallerStream::new(stream, Arc::clone(&activity));
    let builder = server_builder(&kernel);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let idle_limit = Duration::from_millis(kernel.config.head_timeout_ms);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_stop(&kernel, &activity, idle_limit) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = activity.wait_idle(idle_limit * FORCE_CLOSE_FACTOR) => Ok(()),
            }
        }
    };
    if let Err(e) = result {
        log::debug!("event=caller-connection-ended error={:?}", e.to_string());
    }
}

/// Waits until the connection should accept no more requests.
async fn wait_stop(kernel: &Kernel, activity: &ConnectionActivity, idle_limit: Duration) {
    tokio::select! {
        () = activity.wait_idle(idle_limit) => {}
        () = wait_shutdown(kernel, activity) => {}
    }
}

/// Waits until the connection should close because the instance is shutting down.
///
/// HTTP/2 announces at once which requests are still accepted. HTTP/1.1 can only close the connection, so
/// that happens late.
async fn wait_shutdown(kernel: &Kernel, activity: &ConnectionActivity) {
    kernel.wait_leaving().await;
    if activity.is_http2.load(Ordering::Acquire) {
        return;
    }
    kernel.wait_refusing().await;
    sleep(CLOSE_DELAY).await;
}
