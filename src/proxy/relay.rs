//! Forwards responses to callers, long ones through a bounded buffer. An interrupted response can be resumed
//! from another target.
//!
//! A long response is read up to `READ_AHEAD_CHUNKS` chunks ahead of the caller. If the buffer is full and
//! the caller reads nothing for [`SLOW_CALLER_TIMEOUT`], a response that can be resumed releases its target's
//! slot. It is resumed once half of the buffer is empty.

use std::{
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::{
    Method, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::{self, HeaderMap, HeaderValue},
    http::request,
};
use tokio::{
    sync::mpsc::{Permit, Receiver, Sender, channel},
    time::{Instant, sleep, timeout},
};

use super::{
    attempt::{AttemptGuard, StartedResponse},
    body::{BodyError, DirectBody},
    call::{AttemptsOutcome, run_attempts},
    connection::READ_BUFFER_BYTES,
    context::{CallContext, CallRecorder},
    response::CallerResponse,
    upload::RequestParts,
};
use crate::{decide::AttemptEnd, kernel::in_progress::RequestGuard, plan::RequestKind, units::TargetId};

/// Maximum number of chunks read ahead of the caller, each of at most [`READ_BUFFER_BYTES`].
const READ_AHEAD_CHUNKS: usize = 4;

/// Longest body that is forwarded without read-ahead.
const MAX_DIRECT_BODY_BYTES: u64 = READ_BUFFER_BYTES as u64;

/// Time for which a full buffer may occupy a target's slot while the caller reads nothing.
pub const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a caller may read nothing of a response that occupies no target slot.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Delay between two attempts to resume a response.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Attempts to resume a response end after the progress timeout times this factor.
const RESUME_WINDOW_FACTOR: u32 = 4;

/// Number of attempts to resume that exclude the failed target; later ones may use it if no other is
/// available.
const EXCLUDING_ATTEMPTS: u32 = 4;

/// The first chunk of a resumed response must arrive within the progress timeout divided by this.
const FIRST_CHUNK_TIMEOUT_DIVISOR: u32 = 2;

/// Forwards a response whose head has arrived; long bodies are read ahead by a task of their own.
pub fn forward(context: CallContext, parts: RequestParts, started: StartedResponse) -> CallerResponse {
    let length = started.response.body().size_hint().exact();
    if length.is_some_and(|n| n <= MAX_DIRECT_BODY_BYTES) {
        return forward_direct(&context, started);
    }
    let recorder = context.recorder(!started.response.status().is_server_error());
    let (response_head, body) = started.response.into_parts();
    let validator = validator(&context, &parts.head, response_head.status, &response_head.headers, length);
    let (sender, receiver) = channel(READ_AHEAD_CHUNKS);
    let failure = Arc::new(OnceLock::new());
    let relayed = RelayBody {
        chunks: receiver,
        remaining: length,
        failure: Arc::clone(&failure),
        ended: false,
        recorder: Some(recorder),
        _in_progress: context.kernel.track_request(),
    };
    let source = Some(Source { body, guard: started.guard, skip: 0 });
    let relay = Relay {
        context,
        parts,
        validator,
        source,
        offset: 0,
        resume_until: None,
        resume_attempts: 0,
        failed_target: None,
        failure,
    };
    tokio::spawn(relay.run(sender));
    CallerResponse::from_target(response_head, relayed.boxed())
}

/// Forwards a response as the caller reads it, without read-ahead.
pub fn forward_direct(context: &CallContext, started: StartedResponse) -> CallerResponse {
    let recorder = context.recorder(!started.response.status().is_server_error());
    let (response_head, body) = started.response.into_parts();
    let body = DirectBody::new(body, started.guard, recorder, context.progress_timeout());
    CallerResponse::from_target(response_head, body.boxed())
}

/// Properties that a response must share with the first one to continue it.
#[derive(Debug)]
struct Validator {
    /// Strong entity tag.
    etag: HeaderValue,
    /// Length of the complete body in bytes.
    length: u64,
}

/// Returns the validator of a response, if another target may continue it.
fn validator(
    context: &CallContext,
    request: &request::Parts,
    status: StatusCode,
    fields: &HeaderMap,
    length: Option<u64>,
) -> Option<Validator> {
    let is_full_get = request.method == Method::GET && status == StatusCode::OK;
    if context.kind != RequestKind::Idempotent || !is_full_get {
        return None;
    }
    let etag = fields.get(header::ETAG).filter(|tag| is_strong(tag))?.clone();
    Some(Validator { etag, length: length? })
}

fn is_strong(etag: &HeaderValue) -> bool {
    let bytes = etag.as_bytes();
    bytes.len() > 2 && bytes.starts_with(b"\"") && bytes.ends_with(b"\"")
}

/// Body that one target sends.
struct Source {
    body: Incoming,
    guard: AttemptGuard,
    /// Number of bytes at its start that the caller already has.
    skip: u64,
}

/// Reads a response body ahead of its caller.
struct Relay {
    context: CallContext,
    parts: RequestParts,
    /// `None` when no other target may continue the response.
    validator: Option<Validator>,
    /// `None` between two targets.
    source: Option<Source>,
    /// Number of bytes passed to the caller's side.
    offset: u64,
    /// When attempts to resume end; set from the first attempt until a chunk has arrived.
    resume_until: Option<Instant>,
    /// Number of attempts to resume since the last chunk.
    resume_attempts: u32,
    /// Target that failed last; `None` if the attempt ended because of the caller.
    failed_target: Option<TargetId>,
    /// Why the response ended early; set before the channel closes.
    failure: Arc<OnceLock<BodyError>>,
}

/// Result of waiting for space in the buffer.
enum Reservation<'a> {
    Granted(Permit<'a, Chunk>),
    CallerDisconnected,
    CallerStalled,
}

/// One chunk of a body. A body whose channel closes without [`Chunk::End`] is truncated.
#[derive(Debug)]
enum Chunk {
    Data(Bytes),
    End,
}

impl Relay {
    /// Relays until the response has ended or the caller has disconnected.
    async fn run(self, sender: Sender<Chunk>) {
        let disconnected = sender.clone();
        tokio::select! {
            () = self.relay(&sender) => {}
            () = disconnected.closed() => {}
        }
    }

    async fn relay(mut self, sender: &Sender<Chunk>) {
        loop {
            let permit = match self.reserve_space(sender).await {
                Reservation::Granted(permit) => permit,
                Reservation::CallerDisconnected => return,
                Reservation::CallerStalled => return self.fail(BodyError::CallerStalled),
            };
            if self.source.is_none() && !self.resume().await {
                return self.fail(BodyError::Stalled);
            }
            match self.next_chunk().await {
                Ok(Some(bytes)) => {
                    self.resume_until = None;
                    self.resume_attempts = 0;
                    self.offset += bytes.len() as u64;
                    permit.send(Chunk::Data(bytes));
                }
                Ok(None) => {
                    self.end_source(AttemptEnd::Answered);
                    permit.send(Chunk::End);
                    return;
                }
                Err(error) => {
                    self.end_source(AttemptEnd::Lost);
                    if self.validator.is_none() {
                        return self.fail(error);
                    }
                }
            }
        }
    }

    fn fail(&self, error: BodyError) {
        // Set at most once, since the relay ends here.
        let _first = self.failure.set(error);
    }

    fn end_source(&mut self, end: AttemptEnd) {
        if let Some(source) = self.source.take() {
            let target = source.guard.target().clone();
            self.failed_target = (end == AttemptEnd::Lost).then_some(target);
            source.guard.end(end);
        }
    }

    /// Waits for space in the buffer.
    ///
    /// If the caller is slow and another target can continue the response, the current target is released.
    async fn reserve_space<'a>(&mut self, sender: &'a Sender<Chunk>) -> Reservation<'a> {
        if self.source.is_some() && self.validator.is_some() {
            match timeout(SLOW_CALLER_TIMEOUT, sender.reserve()).await {
                Ok(Ok(permit)) => return Reservation::Granted(permit),
                Ok(Err(_)) => return Reservation::CallerDisconnected,
                Err(_) => self.end_source(AttemptEnd::Cancelled),
            }
        }
        let (chunks, stall_timeout) = match &self.source {
            Some(_) => (1, self.context.progress_timeout()),
            None => (READ_AHEAD_CHUNKS / 2, CALLER_STALL_TIMEOUT),
        };
        match timeout(stall_timeout, sender.reserve_many(chunks)).await {
            Ok(Ok(_half)) => {}
            Ok(Err(_)) => return Reservation::CallerDisconnected,
            Err(_) => return Reservation::CallerStalled,
        }
        sender.reserve().await.map_or(Reservation::CallerDisconnected, Reservation::Granted)
    }

    /// Reads the next chunk; `None` marks the end of a complete body.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut progress_timeout = self.context.progress_timeout();
        if self.resume_until.is_some() {
            progress_timeout /= FIRST_CHUNK_TIMEOUT_DIVISOR;
        }
        let Some(source) = &mut self.source else { return Err(BodyError::Truncated) };
        loop {
            let frame = timeout(progress_timeout, source.body.frame()).await;
            let frame = frame.map_err(|_elapsed| BodyError::Stalled)?;
            let Some(frame) = frame else { return Ok(None) };
            let Ok(mut data) = frame.map_err(|_broken| BodyError::Truncated)?.into_data() else { continue };
            let skipped = source.skip.min(data.len() as u64);
            data.advance(skipped as usize);
            source.skip -= skipped;
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Finds a target that continues the response, within the resume window; returns whether one was found.
    async fn resume(&mut self) -> bool {
        let Some(validator) = &self.validator else { return false };
        if self.resume_until.is_some() {
            sleep(RESUME_RETRY_DELAY).await;
        }
        let window = self.context.progress_timeout() * RESUME_WINDOW_FACTOR;
        let until = *self.resume_until.get_or_insert_with(|| Instant::now() + window);
        let Some(parts) = build_range_request(&self.parts, validator, self.offset) else { return false };
        while Instant::now() < until {
            self.resume_attempts += 1;
            let excluded_target =
                self.failed_target.clone().filter(|_| self.resume_attempts <= EXCLUDING_ATTEMPTS);
            let context = self.context.resumption(excluded_target);
            if let AttemptsOutcome::Started(started) = run_attempts(&context, &parts).await {
                let Some(skip) = bytes_to_skip(validator, self.offset, &started) else { return false };
                log::info!("event=transfer-resumed request={} offset={}", context.request_id, self.offset);
                self.source = Some(Source { body: started.response.into_body(), guard: started.guard, skip });
                return true;
            }
            sleep(RESUME_RETRY_DELAY).await;
        }
        false
    }
}

/// Builds the range request for the rest of a body.
fn build_range_request(parts: &RequestParts, validator: &Validator, offset: u64) -> Option<RequestParts> {
    let mut head = parts.head.clone();
    for name in [
        header::IF_MATCH,
        header::IF_NONE_MATCH,
        header::IF_MODIFIED_SINCE,
        header::IF_UNMODIFIED_SINCE,
        header::RANGE,
    ] {
        head.headers.remove(name);
    }
    let range = HeaderValue::from_str(&format!("bytes={offset}-")).ok()?;
    head.headers.insert(header::RANGE, range);
    head.headers.insert(header::IF_RANGE, validator.etag.clone());
    Some(RequestParts { head, body: parts.body.clone(), upload: None })
}

/// Returns how many bytes at the start of a resumed response the caller already has, or `None` if its content
/// differs.
fn bytes_to_skip(validator: &Validator, offset: u64, started: &StartedResponse) -> Option<u64> {
    let fields = started.response.headers();
    if fields.get(header::ETAG) != Some(&validator.etag) {
        return None;
    }
    let length = started.response.body().size_hint().exact()?;
    match started.response.status() {
        StatusCode::OK => (length == validator.length).then_some(offset),
        StatusCode::PARTIAL_CONTENT => {
            let expected = format!("bytes {offset}-{}/{}", validator.length - 1, validator.length);
            let range = fields.get(header::CONTENT_RANGE)?;
            (range.as_bytes() == expected.as_bytes() && length == validator.length - offset).then_some(0)
        }
        _ => None,
    }
}

/// Response body on the caller's side of the buffer.
#[derive(Debug)]
struct RelayBody {
    chunks: Receiver<Chunk>,
    /// Bytes still to come, if the length is known.
    remaining: Option<u64>,
    failure: Arc<OnceLock<BodyError>>,
    ended: bool,
    /// Present until the end of the body has been recorded.
    recorder: Option<CallRecorder>,
    _in_progress: RequestGuard,
}

impl RelayBody {
    fn finish_complete(&mut self) {
        self.ended = true;
        if let Some(recorder) = self.recorder.take() {
            recorder.record_complete();
        }
    }

    fn finish_truncated(&mut self) -> BodyError {
        self.ended = true;
        if let Some(recorder) = self.recorder.take() {
            recorder.record_truncated();
        }
        self.failure.get().copied().unwrap_or(BodyError::Truncated)
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = match ready!(self.chunks.poll_recv(cx)) {
            Some(Chunk::Data(bytes)) => {
                self.remaining = self.remaining.map(|n| n.saturating_sub(bytes.len() as u64));
                if self.remaining == Some(0) {
                    self.finish_complete();
                }
                Some(Ok(Frame::data(bytes)))
            }
            Some(Chunk::End) => {
                self.finish_complete();
                None
            }
            None => Some(Err(self.finish_truncated())),
        };
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
