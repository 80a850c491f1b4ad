//! Runs one call: follows the pool's directives until there is a response for the caller.

use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};

use super::{
    attempt::{AttemptResult, FailedResponse, StartedResponse, send},
    relay,
    response::{CallerResponse, full_body},
};
pub use super::{context::CallContext, upload::RequestParts};
use crate::{
    decide::Attempt,
    error::{ErrorKind, Outcome},
    kernel::{
        mailbox::DirectiveReceiver,
        pools::{Directive, ServicePool},
    },
    units::CallId,
};

/// How a call ended.
#[derive(Debug)]
pub enum CallResult {
    /// The target's response; the call is counted when the response body ends.
    Response(CallerResponse),
    /// There is no target response to forward. Carries the error and the time after which a retry may
    /// succeed.
    Refused(ErrorKind, Option<Duration>),
}

/// How the attempts of a call ended.
#[derive(Debug)]
pub enum AttemptsOutcome {
    /// The response head of an attempt has arrived.
    Started(Box<StartedResponse>),
    /// All attempts failed; this is the last error response.
    Failed(Box<FailedResponse>),
    /// There is no target response to forward. Carries the error and the time after which a retry may
    /// succeed.
    Refused(ErrorKind, Option<Duration>),
}

/// Tells the pool that the call has ended, also when the caller disconnects.
struct CloseGuard<'a> {
    pool: &'a ServicePool,
    call: CallId,
}

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        self.pool.end_call(self.call);
    }
}

/// Runs a call and returns the caller's response.
pub async fn run(context: CallContext, parts: RequestParts) -> CallerResponse {
    match run_attempts(&context, &parts).await {
        AttemptsOutcome::Started(started) => relay::forward(context, parts, *started),
        AttemptsOutcome::Failed(failed) => forward_failed(&context, *failed),
        AttemptsOutcome::Refused(kind, retry_after) => context.refuse(kind, retry_after),
    }
}

/// Runs a call whose response is consumed by this instance, so that it needs no read-ahead.
pub async fn run_unbuffered(context: &CallContext, parts: &RequestParts) -> CallResult {
    match run_attempts(context, parts).await {
        AttemptsOutcome::Started(started) => CallResult::Response(relay::forward_direct(context, *started)),
        AttemptsOutcome::Failed(failed) => CallResult::Response(forward_failed(context, *failed)),
        AttemptsOutcome::Refused(kind, retry_after) => CallResult::Refused(kind, retry_after),
    }
}

fn forward_failed(context: &CallContext, failed: FailedResponse) -> CallerResponse {
    context.record_end(Outcome::Ran, None, false);
    CallerResponse::from_target(failed.head, full_body(failed.body))
}

/// Follows the pool's directives until a response head has arrived or the call is refused.
pub async fn run_attempts(context: &CallContext, parts: &RequestParts) -> AttemptsOutcome {
    let directives = context.pool.start_call(context.call.clone());
    let _close = CloseGuard { pool: &context.pool, call: context.call.id };
    let mut attempts = Attempts { context, parts, running: Vec::new(), failed: None, refused: None };
    poll_fn(|cx| attempts.poll(cx, &directives)).await
}

/// One attempt in progress; cancelled when dropped.
struct RunningAttempt<'a> {
    attempt: Attempt,
    result: BoxFuture<'a, AttemptResult>,
}

/// All attempts of one call.
struct Attempts<'a> {
    context: &'a CallContext,
    parts: &'a RequestParts,
    running: Vec<RunningAttempt<'a>>,
    /// Error response of the latest failed attempt.
    failed: Option<Box<FailedResponse>>,
    /// The pool's refusal, held back while an attempt that is suspected to be lost may still get a response.
    refused: Option<Refusal>,
}

/// Error with which the pool refuses a call.
#[derive(Clone, Copy)]
struct Refusal {
    kind: ErrorKind,
    retry_after: Option<Duration>,
}

impl Attempts<'_> {
    fn poll(&mut self, cx: &mut Context<'_>, directives: &DirectiveReceiver) -> Poll<AttemptsOutcome> {
        loop {
            if let Some(started) = self.poll_running(cx) {
                return Poll::Ready(AttemptsOutcome::Started(started));
            }
            if let Some(refusal) = self.refused.filter(|_| self.running.is_empty()) {
                return Poll::Ready(self.refuse(refusal));
            }
            let Poll::Ready(directive) = directives.poll_next(cx) else { return Poll::Pending };
            if let Some(outcome) = self.handle_directive(directive) {
                return Poll::Ready(outcome);
            }
        }
    }

    /// Polls every attempt and returns the first response that should be forwarded.
    fn poll_running(&mut self, cx: &mut Context<'_>) -> Option<Box<StartedResponse>> {
        let mut index = 0;
        while index < self.running.len() {
            let Poll::Ready(result) = Pin::new(&mut self.running[index].result).poll(cx) else {
                index += 1;
                continue;
            };
            drop(self.running.swap_remove(index));
            match result {
                AttemptResult::Answered(started) => return Some(started),
                AttemptResult::Failed(failed) => self.failed = Some(failed),
                AttemptResult::NoResponse => {}
            }
        }
        None
    }

    fn handle_directive(&mut self, directive: Directive) -> Option<AttemptsOutcome> {
        match directive {
            Directive::Send { attempt, target } => {
                if self.parts.is_body_consumed() {
                    return Some(AttemptsOutcome::Refused(ErrorKind::TargetRefused, None));
                }
                self.context.first_send.record(self.context.kernel.clock.now());
                let result = send(self.context, self.parts, attempt, target).boxed();
                self.running.push(RunningAttempt { attempt, result });
                None
            }
            Directive::Cancel { attempt } => {
                self.running.retain(|r| r.attempt != attempt);
                None
            }
            Directive::Deliver { .. } => self.failed.take().map(AttemptsOutcome::Failed),
            Directive::Refuse { kind, retry_after } => {
                self.refused = Some(Refusal { kind, retry_after });
                None
            }
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> AttemptsOutcome {
        let failed = self.failed.take().map(AttemptsOutcome::Failed);
        failed.unwrap_or(AttemptsOutcome::Refused(refusal.kind, refusal.retry_after))
    }
}
