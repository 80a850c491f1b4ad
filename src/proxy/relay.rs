//! Passes an answer on to the caller; long ones through a bounded buffer and from target to target.
//!
//! A long answer is read ahead of the caller, `READ_AHEAD_CHUNKS` chunks at most. A caller that takes nothing
//! for [`SLOW_CALLER_TIMEOUT`] while the buffer is full frees the target's slot when the answer can be continued;
//! it is continued once half of the buffer is empty.

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

/// Pieces of an answer that are read ahead of the caller; each has at most [`READ_BUFFER_BYTES`].
const READ_AHEAD_CHUNKS: usize = 4;

/// Longest body that is passed on without reading ahead.
const MAX_DIRECT_BODY_BYTES: u64 = READ_BUFFER_BYTES as u64;

/// Time a full buffer may hold a target's slot while the caller takes nothing.
pub const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time a caller may take nothing of an answer that holds no target's slot.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two tries to continue an answer.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tries to continue an answer end after this many times the progress timeout.
const RESUME_WINDOW_FACTOR: u32 = 4;

/// Tries that leave out the target that failed; later ones take it if the pool has no better.
const EXCLUDING_TRIES: u32 = 4;

/// The first piece of a continued answer is waited for during the progress timeout over this.
const FIRST_CHUNK_TIMEOUT_DIVISOR: u32 = 2;

/// Passes on an answer that has begun.
pub fn forward(context: CallContext, parts: RequestParts, head: StartedResponse) -> CallerResponse {
    let length = head.response.body().size_hint().exact();
    if length.is_some_and(|n| n <= MAX_DIRECT_BODY_BYTES) {
        return forward_direct(&context, head);
    }
    let recorder = context.recorder(!head.response.status().is_server_error());
    let (response_head, body) = head.response.into_parts();
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
    let source = Some(Source { body, guard: head.guard, skip: 0 });
    let relay = Relay {
        context,
        parts,
        validator,
        source,
        offset: 0,
        resume_until: None,
        tries: 0,
        failed_target: None,
        failure,
    };
    tokio::spawn(relay.run(sender));
    CallerResponse::from_target(response_head, relayed.boxed())
}

/// Passes on an answer as it is taken, without reading ahead.
pub fn forward_direct(context: &CallContext, head: StartedResponse) -> CallerResponse {
    let recorder = context.recorder(!head.response.status().is_server_error());
    let (response_head, body) = head.response.into_parts();
    let body = DirectBody::new(body, head.guard, recorder, context.progress_timeout());
    CallerResponse::from_target(response_head, body.boxed())
}

/// What an answer must match to continue another.
#[derive(Debug)]
struct Validator {
    /// Strong entity tag.
    etag: HeaderValue,
    /// Length of the whole answer in bytes.
    length: u64,
}

/// Returns the validator of an answer that another target may continue.
fn validator(
    context: &CallContext,
    request: &request::Parts,
    status: StatusCode,
    fields: &HeaderMap,
    length: Option<u64>,
) -> Option<Validator> {
    let whole = request.method == Method::GET && status == StatusCode::OK;
    if context.kind != RequestKind::Idempotent || !whole {
        return None;
    }
    let etag = fields.get(header::ETAG).filter(|tag| is_strong(tag))?.clone();
    Some(Validator { etag, length: length? })
}

fn is_strong(etag: &HeaderValue) -> bool {
    let bytes = etag.as_bytes();
    bytes.len() > 2 && bytes.starts_with(b"\"") && bytes.ends_with(b"\"")
}

/// A body that one target sends.
struct Source {
    body: Incoming,
    guard: AttemptGuard,
    /// Bytes at its start that the caller has already.
    skip: u64,
}

/// Reads an answer ahead of its caller.
struct Relay {
    context: CallContext,
    parts: RequestParts,
    /// Absent when no other target may continue the answer.
    validator: Option<Validator>,
    /// Absent between two targets.
    source: Option<Source>,
    /// Bytes handed to the caller's side.
    offset: u64,
    /// When tries to continue the answer end; set from the first try until a piece has come.
    resume_until: Option<Instant>,
    /// Tries to continue the answer since the last piece.
    tries: u32,
    /// Target that failed last, unless the caller was the reason.
    failed_target: Option<TargetId>,
    /// Why the answer ended early, set before the channel closes.
    failure: Arc<OnceLock<BodyError>>,
}

/// What a look for room in the buffer found.
enum Reservation<'a> {
    Granted(Permit<'a, Chunk>),
    CallerDisconnected,
    CallerStalled,
}

/// One piece of an answer; the last is [`Chunk::End`], without which the answer is cut.
#[derive(Debug)]
enum Chunk {
    Data(Bytes),
    End,
}

impl Relay {
    /// Relays until the answer has ended or the caller has disconnected.
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
                    self.tries = 0;
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
        // Set once: the relay ends here.
        let _first = self.failure.set(error);
    }

    fn end_source(&mut self, end: AttemptEnd) {
        if let Some(source) = self.source.take() {
            let target = source.guard.target().clone();
            self.failed_target = (end == AttemptEnd::Lost).then_some(target);
            source.guard.end(end);
        }
    }

    /// Waits for room; a slow caller's target is let go when another can continue.
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

    /// Reads the next piece; `None` is the end of a whole answer.
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

    /// Finds a target that is_resumption the answer, for as long as the caller may wait for progress.
    async fn resume(&mut self) -> bool {
        let Some(validator) = &self.validator else { return false };
        if self.resume_until.is_some() {
            sleep(RESUME_RETRY_DELAY).await;
        }
        let window = self.context.progress_timeout() * RESUME_WINDOW_FACTOR;
        let until = *self.resume_until.get_or_insert_with(|| Instant::now() + window);
        let Some(parts) = build_range_request(&self.parts, validator, self.offset) else { return false };
        while Instant::now() < until {
            self.tries += 1;
            let excluded_target = self.failed_target.clone().filter(|_| self.tries <= EXCLUDING_TRIES);
            let context = self.context.resumption(excluded_target);
            if let AttemptsOutcome::Started(head) = run_attempts(&context, &parts).await {
                let Some(skip) = bytes_to_skip(validator, self.offset, &head) else { return false };
                log::info!("event=transfer-resumed request={} offset={}", context.request_id, self.offset);
                self.source = Some(Source { body: head.response.into_body(), guard: head.guard, skip });
                return true;
            }
            sleep(RESUME_RETRY_DELAY).await;
        }
        false
    }
}

/// Makes the request for the rest of an answer.
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

/// Returns how many bytes of an answer the caller has already; `None` when it is of other content.
fn bytes_to_skip(validator: &Validator, offset: u64, head: &StartedResponse) -> Option<u64> {
    let fields = head.response.headers();
    if fields.get(header::ETAG) != Some(&validator.etag) {
        return None;
    }
    let length = head.response.body().size_hint().exact()?;
    match head.response.status() {
        StatusCode::OK => (length == validator.length).then_some(offset),
        StatusCode::PARTIAL_CONTENT => {
            let expected = format!("bytes {offset}-{}/{}", validator.length - 1, validator.length);
            let range = fields.get(header::CONTENT_RANGE)?;
            (range.as_bytes() == expected.as_bytes() && length == validator.length - offset).then_some(0)
        }
        _ => None,
    }
}

/// The caller's side of a relayed answer.
#[derive(Debug)]
struct RelayBody {
    chunks: Receiver<Chunk>,
    /// Bytes still to come, when the length is known.
    remaining: Option<u64>,
    failure: Arc<OnceLock<BodyError>>,
    ended: bool,
    /// Present until the end is known.
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
