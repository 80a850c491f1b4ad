//! Request body on its way to a target.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Uri, Version,
    body::{Body, Frame, Incoming, SizeHint},
    header::{self, HeaderValue},
    http::request::Parts,
};
use tokio::time::{Instant, Sleep, sleep};

use super::{body::BodyError, headers};

/// Body of a request to a target.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body; can be sent again.
    Buffered(Full<Bytes>),
    /// A body that is forwarded as it arrives; can be sent only once.
    Streamed(Box<Upload>),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(upload) => Pin::new(upload.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(upload) => upload.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(upload) => upload.size_hint(),
        }
    }
}

/// Progress of an upload, as seen by the attempt that sends it.
#[derive(Debug)]
pub struct UploadProgress {
    origin: Instant,
    /// Microseconds from `origin` until the target's connection last accepted or requested data.
    last_progress_us: AtomicU64,
    /// The [`UploadState`] as its discriminant.
    state: AtomicU8,
}

/// State of an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum UploadState {
    /// The target's connection has data to send.
    Sending,
    /// The next chunk has not yet arrived from the caller.
    AwaitingCaller,
    /// The complete body has been passed to the target's connection.
    Complete,
    /// The caller disconnected, stalled or exceeded the size limit.
    Failed,
}

impl UploadProgress {
    fn new() -> Self {
        let state = AtomicU8::new(UploadState::Sending as u8);
        Self { origin: Instant::now(), last_progress_us: AtomicU64::new(0), state }
    }

    fn set(&self, state: UploadState) {
        let last_progress_us = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.last_progress_us.store(last_progress_us, Ordering::Release);
        self.state.store(state as u8, Ordering::Release);
    }

    /// Returns the current state.
    pub fn state(&self) -> UploadState {
        match self.state.load(Ordering::Acquire) {
            0 => UploadState::Sending,
            1 => UploadState::AwaitingCaller,
            2 => UploadState::Complete,
            _ => UploadState::Failed,
        }
    }

    /// Returns when the target's connection last accepted or requested data.
    pub fn last_progress(&self) -> Instant {
        self.origin + Duration::from_micros(self.last_progress_us.load(Ordering::Acquire))
    }
}

/// A request body that is forwarded as it arrives.
#[derive(Debug)]
pub struct Upload {
    /// Bytes that arrived before sending began.
    prefix: Option<Bytes>,
    remainder: Incoming,
    /// Number of bytes that may still arrive.
    bytes_allowed: u64,
    progress_timeout: Duration,
    /// Present while the next frame is awaited from the caller.
    stall_timer: Option<Pin<Box<Sleep>>>,
    progress: Arc<UploadProgress>,
}

impl Upload {
    /// Joins the bytes that have arrived with the rest of the body; the upload fails beyond `limit` bytes in
    /// total.
    pub fn new(prefix: Bytes, remainder: Incoming, limit: u64, progress_timeout: Duration) -> Self {
        let bytes_allowed = limit.saturating_sub(prefix.len() as u64);
        let progress = Arc::new(UploadProgress::new());
        let prefix = (!prefix.is_empty()).then_some(prefix);
        Self { prefix, remainder, bytes_allowed, progress_timeout, stall_timer: None, progress }
    }

    /// Returns a handle to observe the progress.
    pub fn progress(&self) -> Arc<UploadProgress> {
        Arc::clone(&self.progress)
    }

    fn fail(&self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.progress.set(UploadState::Failed);
        Poll::Ready(Some(Err(error)))
    }

    fn poll_stall_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self.progress_timeout;
        self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout))).as_mut().poll(cx)
    }

    fn poll_remainder(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.remainder).poll_frame(cx) else {
            if self.progress.state() != UploadState::AwaitingCaller {
                self.progress.set(UploadState::AwaitingCaller);
            }
            return match self.poll_stall_timer(cx) {
                Poll::Ready(()) => self.fail(BodyError::Stalled),
                Poll::Pending => Poll::Pending,
            };
        };
        self.stall_timer = None;
        match frame {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                if length > self.bytes_allowed {
                    return self.fail(BodyError::TooLarge);
                }
                self.bytes_allowed -= length;
                let end = self.remainder.is_end_stream();
                self.progress.set(if end { UploadState::Complete } else { UploadState::Sending });
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.fail(BodyError::Truncated),
            None => {
                self.progress.set(UploadState::Complete);
                Poll::Ready(None)
            }
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            self.progress.set(UploadState::Sending);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        self.poll_remainder(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.remainder.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let remainder = self.remainder.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(prefix + remainder.lower());
        if let Some(upper) = remainder.upper() {
            hint.set_upper(prefix + upper);
        }
        hint
    }
}

/// A streamed body, if the request has one. The inner option is empty once part of the body may have been
/// sent.
pub type UnsentUpload = Option<Mutex<Option<Box<Upload>>>>;

/// A request that can be sent to a target.
#[derive(Debug)]
pub struct RequestParts {
    /// Head as the caller sent it.
    pub head: Parts,
    /// Complete body; empty if the body is streamed.
    pub body: Bytes,
    /// Streamed body, if the request has one.
    pub upload: UnsentUpload,
}

impl RequestParts {
    /// Returns the body for one attempt; `None` if an earlier attempt has consumed it.
    pub fn take_body(&self) -> Option<RequestBody> {
        let Some(upload) = &self.upload else {
            return Some(RequestBody::Buffered(Full::new(self.body.clone())));
        };
        upload.lock().unwrap_or_else(PoisonError::into_inner).take().map(RequestBody::Streamed)
    }

    /// Builds the request for the target at `address`; `None` if the head cannot be forwarded.
    pub fn build_request(&self, body: RequestBody, address: SocketAddr) -> Option<Request<RequestBody>> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = Uri::from(self.head.uri.path_and_query()?.clone());
        *request.version_mut() = Version::HTTP_11;
        let fields = request.headers_mut();
        fields.clone_from(&self.head.headers);
        headers::strip_non_forwardable(fields);
        fields.remove(header::CONTENT_LENGTH);
        fields.remove(header::EXPECT);
        if !fields.contains_key(header::HOST) {
            let host = self.head.uri.authority().map_or_else(|| address.to_string(), ToString::to_string);
            fields.insert(header::HOST, HeaderValue::from_str(&host).ok()?);
        }
        Some(request)
    }

    /// Restores the body of a request of which nothing was sent.
    pub fn restore_body(&self, body: RequestBody) {
        if let (Some(slot), RequestBody::Streamed(upload)) = (&self.upload, body) {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(upload);
        }
    }

    /// Returns whether an attempt has consumed the streamed body.
    pub fn is_body_consumed(&self) -> bool {
        let consumed =
            |u: &Mutex<Option<Box<Upload>>>| u.lock().unwrap_or_else(PoisonError::into_inner).is_none();
        self.upload.as_ref().is_some_and(consumed)
    }
}
