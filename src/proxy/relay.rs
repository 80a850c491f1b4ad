//! Passes an answer on to the caller; long ones through a bounded buffer and from target to target.
//!
//! A long answer is read ahead of the caller, `READ_AHEAD_PIECES` pieces at most. A caller that takes nothing
//! for [`SLOW_CALLER_LIMIT`] while the buffer is full frees the target's slot when the answer can be continued;
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
    answer::Answer,
    body::{BodyError, TargetBody},
    call::{Followed, follow_sends},
    connection::READ_BUFFER_BYTES,
    context::{AnswerCount, CallContext},
    send::{Head, SendGuard},
    upload::RequestParts,
};
use crate::{decide::AttemptEnd, kernel::in_progress::RequestGuard, plan::RequestKind, units::TargetId};

/// Pieces of an answer that are read ahead of the caller; each has at most [`READ_BUFFER_BYTES`].
const READ_AHEAD_PIECES: usize = 4;

/// Longest body that is passed on without reading ahead.
const SHORT_BODY_BYTES: u64 = READ_BUFFER_BYTES as u64;

/// Time a full buffer may hold a target's slot while the caller takes nothing.
pub const SLOW_CALLER_LIMIT: Duration = Duration::from_secs(2);

/// Time a caller may take nothing of an answer that holds no target's slot.
const CALLER_PAUSE_LIMIT: Duration = Duration::from_mins(1);

/// Pause between two tries to continue an answer.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Tries to continue an answer end after this many times the progress timeout.
const RESUME_WINDOW_PARTS: u32 = 4;

/// Tries that leave out the target that failed; later ones take it if the pool has no better.
const AVOIDING_TRIES: u32 = 4;

/// The first piece of a continued answer is waited for during the progress timeout over this.
const FIRST_PIECE_PART: u32 = 2;

/// Passes on an answer that has begun.
pub fn pass_on(context: CallContext, parts: RequestParts, head: Head) -> Answer {
    let length = head.response.body().size_hint().exact();
    if length.is_some_and(|n| n <= SHORT_BODY_BYTES) {
        return pass_directly(&context, head);
    }
    let count = context.answer_count(!head.response.status().is_server_error());
    let (answer_head, body) = head.response.into_parts();
    let validator = validator(&context, &parts.head, answer_head.status, &answer_head.headers, length);
    let (sender, receiver) = channel(READ_AHEAD_PIECES);
    let failure = Arc::new(OnceLock::new());
    let relayed = RelayBody {
        pieces: receiver,
        remaining: length,
        failure: Arc::clone(&failure),
        ended: false,
        count: Some(count),
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
    Answer::ran(answer_head, relayed.boxed())
}

/// Passes on an answer as it is taken, without reading ahead.
pub fn pass_directly(context: &CallContext, head: Head) -> Answer {
    let count = context.answer_count(!head.response.status().is_server_error());
    let (answer_head, body) = head.response.into_parts();
    let body = TargetBody::new(body, head.guard, count, context.progress_timeout());
    Answer::ran(answer_head, body.boxed())
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
    guard: SendGuard,
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
enum Room<'a> {
    Free(Permit<'a, Piece>),
    CallerLeft,
    CallerStalled,
}

/// One piece of an answer; the last is [`Piece::End`], without which the answer is cut.
#[derive(Debug)]
enum Piece {
    Data(Bytes),
    End,
}

impl Relay {
    /// Relays until the answer has ended or the caller has left.
    async fn run(self, sender: Sender<Piece>) {
        let left = sender.clone();
        tokio::select! {
            () = self.relay(&sender) => {}
            () = left.closed() => {}
        }
    }

    async fn relay(mut self, sender: &Sender<Piece>) {
        loop {
            let permit = match self.wait_room(sender).await {
                Room::Free(permit) => permit,
                Room::CallerLeft => return,
                Room::CallerStalled => return self.fail(BodyError::CallerStalled),
            };
            if self.source.is_none() && !self.resume().await {
                return self.fail(BodyError::Stalled);
            }
            match self.next_piece().await {
                Ok(Some(bytes)) => {
                    self.resume_until = None;
                    self.tries = 0;
                    self.offset += bytes.len() as u64;
                    permit.send(Piece::Data(bytes));
                }
                Ok(None) => {
                    self.end_source(AttemptEnd::Answered);
                    permit.send(Piece::End);
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
    async fn wait_room<'a>(&mut self, sender: &'a Sender<Piece>) -> Room<'a> {
        if self.source.is_some() && self.validator.is_some() {
            match timeout(SLOW_CALLER_LIMIT, sender.reserve()).await {
                Ok(Ok(permit)) => return Room::Free(permit),
                Ok(Err(_)) => return Room::CallerLeft,
                Err(_) => self.end_source(AttemptEnd::Cancelled),
            }
        }
        let (pieces, patience) = match &self.source {
            Some(_) => (1, self.context.progress_timeout()),
            None => (READ_AHEAD_PIECES / 2, CALLER_PAUSE_LIMIT),
        };
        match timeout(patience, sender.reserve_many(pieces)).await {
            Ok(Ok(_half)) => {}
            Ok(Err(_)) => return Room::CallerLeft,
            Err(_) => return Room::CallerStalled,
        }
        sender.reserve().await.map_or(Room::CallerLeft, Room::Free)
    }

    /// Reads the next piece; `None` is the end of a whole answer.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut progress_timeout = self.context.progress_timeout();
        if self.resume_until.is_some() {
            progress_timeout /= FIRST_PIECE_PART;
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

    /// Finds a target that continues the answer, for as long as the caller may wait for progress.
    async fn resume(&mut self) -> bool {
        let Some(validator) = &self.validator else { return false };
        if self.resume_until.is_some() {
            sleep(RESUME_PAUSE).await;
        }
        let window = self.context.progress_timeout() * RESUME_WINDOW_PARTS;
        let until = *self.resume_until.get_or_insert_with(|| Instant::now() + window);
        let Some(parts) = resumed_request(&self.parts, validator, self.offset) else { return false };
        while Instant::now() < until {
            self.tries += 1;
            let avoided = self.failed_target.clone().filter(|_| self.tries <= AVOIDING_TRIES);
            let context = self.context.continued(avoided);
            if let Followed::Began(head) = follow_sends(&context, &parts).await {
                let Some(skip) = continuation(validator, self.offset, &head) else { return false };
                log::info!("event=transfer-resumed request={} offset={}", context.request_id, self.offset);
                self.source = Some(Source { body: head.response.into_body(), guard: head.guard, skip });
                return true;
            }
            sleep(RESUME_PAUSE).await;
        }
        false
    }
}

/// Makes the request for the rest of an answer.
fn resumed_request(parts: &RequestParts, validator: &Validator, offset: u64) -> Option<RequestParts> {
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
fn continuation(validator: &Validator, offset: u64, head: &Head) -> Option<u64> {
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
    pieces: Receiver<Piece>,
    /// Bytes still to come, when the length is known.
    remaining: Option<u64>,
    failure: Arc<OnceLock<BodyError>>,
    ended: bool,
    /// Present until the end is known.
    count: Option<AnswerCount>,
    _in_progress: RequestGuard,
}

impl RelayBody {
    fn end_whole(&mut self) {
        self.ended = true;
        if let Some(count) = self.count.take() {
            count.whole();
        }
    }

    fn end_cut(&mut self) -> BodyError {
        self.ended = true;
        if let Some(count) = self.count.take() {
            count.cut();
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
        let next = match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Data(bytes)) => {
                self.remaining = self.remaining.map(|n| n.saturating_sub(bytes.len() as u64));
                if self.remaining == Some(0) {
                    self.end_whole();
                }
                Some(Ok(Frame::data(bytes)))
            }
            Some(Piece::End) => {
                self.end_whole();
                None
            }
            None => Some(Err(self.end_cut())),
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
