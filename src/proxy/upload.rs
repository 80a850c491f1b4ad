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
    Whole(Full<Bytes>),
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
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(upload) => Pin::new(upload.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(upload) => upload.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(upload) => upload.size_hint(),
        }
    }
}

/// What the sender of an upload sees of its progress.
#[derive(Debug)]
pub struct UploadProgress {
    origin: Instant,
    /// Microseconds since `origin` when the target's connection last took a piece or asked for one.
    moved_us: AtomicU64,
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
    /// The caller broke off, stalled or sent more than the limit.
    Broken,
}

impl UploadProgress {
    fn new() -> Self {
        let state = AtomicU8::new(UploadState::Sending as u8);
        Self { origin: Instant::now(), moved_us: AtomicU64::new(0), state }
    }

    fn set(&self, state: UploadState) {
        let moved_us = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.moved_us.store(moved_us, Ordering::Release);
        self.state.store(state as u8, Ordering::Release);
    }

    /// Returns the state.
    pub fn state(&self) -> UploadState {
        match self.state.load(Ordering::Acquire) {
            0 => UploadState::Sending,
            1 => UploadState::AwaitingCaller,
            2 => UploadState::Complete,
            _ => UploadState::Broken,
        }
    }

    /// Returns when the target's connection last moved.
    pub fn moved_at(&self) -> Instant {
        self.origin + Duration::from_micros(self.moved_us.load(Ordering::Acquire))
    }
}

/// A body that is passed on as it arrives.
#[derive(Debug)]
pub struct Upload {
    /// What arrived before the send began.
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes that may still come.
    allowed: u64,
    progress_timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
    progress: Arc<UploadProgress>,
}

impl Upload {
    /// Joins what has arrived with what is to come; more than `limit` bytes break it off.
    pub fn new(first: Bytes, rest: Incoming, limit: u64, progress_timeout: Duration) -> Self {
        let allowed = limit.saturating_sub(first.len() as u64);
        let progress = Arc::new(UploadProgress::new());
        let first = (!first.is_empty()).then_some(first);
        Self { first, rest, allowed, progress_timeout, stalled: None, progress }
    }

    /// Returns where its progress is seen.
    pub fn progress(&self) -> Arc<UploadProgress> {
        Arc::clone(&self.progress)
    }

    fn broken(&self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.progress.set(UploadState::Broken);
        Poll::Ready(Some(Err(error)))
    }

    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self.progress_timeout;
        self.stalled.get_or_insert_with(|| Box::pin(sleep(timeout))).as_mut().poll(cx)
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
            if self.progress.state() != UploadState::AwaitingCaller {
                self.progress.set(UploadState::AwaitingCaller);
            }
            return match self.poll_stalled(cx) {
                Poll::Ready(()) => self.broken(BodyError::Stalled),
                Poll::Pending => Poll::Pending,
            };
        };
        self.stalled = None;
        match frame {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                if length > self.allowed {
                    return self.broken(BodyError::TooLarge);
                }
                self.allowed -= length;
                let end = self.rest.is_end_stream();
                self.progress.set(if end { UploadState::Complete } else { UploadState::Sending });
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.broken(BodyError::Truncated),
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
        if let Some(first) = self.first.take() {
            self.progress.set(UploadState::Sending);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        self.poll_rest(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(first + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(first + upper);
        }
        hint
    }
}

/// Body that is passed on as it arrives, if there is one; its inside is empty once part of it may have been sent.
pub type KeptUpload = Option<Mutex<Option<Box<Upload>>>>;

/// A request as it can be sent to a target.
#[derive(Debug)]
pub struct RequestParts {
    /// Head as the caller sent it.
    pub head: Parts,
    /// Whole body; empty when there is an upload.
    pub body: Bytes,
    /// Body that is passed on as it arrives; its inside is empty once part of it may have been sent.
    pub upload: KeptUpload,
}

impl RequestParts {
    /// Returns the body for one send; `None` when an earlier send has used it up.
    pub fn take_body(&self) -> Option<RequestBody> {
        let Some(upload) = &self.upload else {
            return Some(RequestBody::Whole(Full::new(self.body.clone())));
        };
        upload.lock().unwrap_or_else(PoisonError::into_inner).take().map(RequestBody::Streamed)
    }

    /// Makes the request that is sent to a target at an address; `None` when the head can't be passed on.
    pub fn forward(&self, body: RequestBody, address: SocketAddr) -> Option<Request<RequestBody>> {
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
    pub fn put_back(&self, body: RequestBody) {
        if let (Some(slot), RequestBody::Streamed(upload)) = (&self.upload, body) {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(upload);
        }
    }

    /// Returns whether a send has used the body up.
    pub fn is_spent(&self) -> bool {
        let spent =
            |u: &Mutex<Option<Box<Upload>>>| u.lock().unwrap_or_else(PoisonError::into_inner).is_none();
        self.upload.as_ref().is_some_and(spent)
    }
}
