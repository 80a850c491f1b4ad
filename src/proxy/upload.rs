//! A request's body on its way to a target.

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
    /// All of it is here, so it can be sent again.
    Buffered(Full<Bytes>),
    /// It is passed on as it arrives, once.
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

/// What the sender of an upload sees of its progress.
#[derive(Debug)]
pub struct UploadProgress {
    origin: Instant,
    /// Microseconds since `origin` when the target's connection last took a piece or asked for one.
    last_progress_us: AtomicU64,
    state: AtomicU8,
}

/// State of an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum UploadState {
    /// The target's connection has more to take.
    Sending,
    /// The next piece has not arrived from the caller.
    AwaitingCaller,
    /// All of it was handed to the target's connection.
    Complete,
    /// The caller broke off, stall_timer or sent more than the limit.
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

    /// Returns the state.
    pub fn state(&self) -> UploadState {
        match self.state.load(Ordering::Acquire) {
            0 => UploadState::Sending,
            1 => UploadState::AwaitingCaller,
            2 => UploadState::Complete,
            _ => UploadState::Failed,
        }
    }

    /// Returns when the target's connection last moved.
    pub fn last_progress(&self) -> Instant {
        self.origin + Duration::from_micros(self.last_progress_us.load(Ordering::Acquire))
    }
}

/// A body that is passed on as it arrives.
#[derive(Debug)]
pub struct Upload {
    /// What arrived before the send began.
    prefix: Option<Bytes>,
    remainder: Incoming,
    /// Bytes that may still come.
    bytes_allowed: u64,
    progress_timeout: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
    progress: Arc<UploadProgress>,
}

impl Upload {
    /// Joins what has arrived with what is to come; more than `limit` bytes break it off.
    pub fn new(prefix: Bytes, remainder: Incoming, limit: u64, progress_timeout: Duration) -> Self {
        let bytes_allowed = limit.saturating_sub(prefix.len() as u64);
        let progress = Arc::new(UploadProgress::new());
        let prefix = (!prefix.is_empty()).then_some(prefix);
        Self { prefix, remainder, bytes_allowed, progress_timeout, stall_timer: None, progress }
    }

    /// Returns where its progress is seen.
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

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
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
        self.poll_rest(cx)
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

/// Body that is passed on as it arrives, if there is one; its inside is empty once part of it may have been sent.
pub type UnsentUpload = Option<Mutex<Option<Box<Upload>>>>;

/// A request as it can be sent to a target.
#[derive(Debug)]
pub struct RequestParts {
    /// StartedResponse as the caller sent it.
    pub head: Parts,
    /// Whole body; empty when there is an upload.
    pub body: Bytes,
    /// Body that is passed on as it arrives; its inside is empty once part of it may have been sent.
    pub upload: UnsentUpload,
}

impl RequestParts {
    /// Returns the body for one send; `None` when an earlier send has used it up.
    pub fn take_body(&self) -> Option<RequestBody> {
        let Some(upload) = &self.upload else {
            return Some(RequestBody::Buffered(Full::new(self.body.clone())));
        };
        upload.lock().unwrap_or_else(PoisonError::into_inner).take().map(RequestBody::Streamed)
    }

    /// Makes the request that is sent to a target at an address; `None` when the head can't be passed on.
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

    /// Takes back the body of a request that was handed back unsent.
    pub fn restore_body(&self, body: RequestBody) {
        if let (Some(slot), RequestBody::Streamed(upload)) = (&self.upload, body) {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(upload);
        }
    }

    /// Returns whether a send has used the body up.
    pub fn is_body_consumed(&self) -> bool {
        let consumed =
            |u: &Mutex<Option<Box<Upload>>>| u.lock().unwrap_or_else(PoisonError::into_inner).is_none();
        self.upload.as_ref().is_some_and(consumed)
    }
}
