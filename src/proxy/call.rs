//! One call: follows the pool's directives until the caller has its answer.

use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};

use super::{
    answer::{Answer, whole},
    relay,
    send::{FailedAnswer, Head, SendResult, send},
};
pub use super::{context::CallContext, upload::RequestParts};
use crate::{
    decide::Attempt,
    error::{ErrorKind, Outcome},
    kernel::{
        mailbox::Directives,
        pools::{Directive, ServicePool},
    },
    units::CallId,
};

/// How a call ended.
#[derive(Debug)]
pub enum CallResult {
    /// The target's answer, counted when its end is known.
    Answer(Answer),
    /// No answer of a target.
    Refused(ErrorKind, Option<Duration>),
}

/// How the sends of a call ended.
#[derive(Debug)]
pub enum Followed {
    /// An answer has begun.
    Began(Box<Head>),
    /// All sends failed; this is the answer of the last.
    Failed(Box<FailedAnswer>),
    /// No answer of a target.
    Refused(ErrorKind, Option<Duration>),
}

/// Tells the pool that the call is over, also when the caller leaves.
struct CloseGuard<'a> {
    cell: &'a ServicePool,
    call: CallId,
}

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        self.cell.close(self.call);
    }
}

/// Runs a call and makes the caller's answer.
pub async fn run(context: CallContext, parts: RequestParts) -> Answer {
    match follow_sends(&context, &parts).await {
        Followed::Began(head) => relay::pass_on(context, parts, *head),
        Followed::Failed(failed) => pass_failed(&context, *failed),
        Followed::Refused(kind, retry_after) => context.refuse(kind, retry_after),
    }
}

/// Runs a call whose answer is taken here rather than passed on piece by piece.
pub async fn follow(context: &CallContext, parts: &RequestParts) -> CallResult {
    match follow_sends(context, parts).await {
        Followed::Began(head) => CallResult::Answer(relay::pass_directly(context, *head)),
        Followed::Failed(failed) => CallResult::Answer(pass_failed(context, *failed)),
        Followed::Refused(kind, retry_after) => CallResult::Refused(kind, retry_after),
    }
}

fn pass_failed(context: &CallContext, failed: FailedAnswer) -> Answer {
    context.count(Outcome::Ran, None, false);
    Answer::ran(failed.head, whole(failed.body))
}

/// Follows the pool's directives until an answer has begun or the call is refused.
pub async fn follow_sends(context: &CallContext, parts: &RequestParts) -> Followed {
    let directives = context.cell.begin(context.call.clone());
    let _close = CloseGuard { cell: &context.cell, call: context.call.id };
    let mut sends = Sends { context, parts, running: Vec::new(), failed: None, refused: None };
    poll_fn(|cx| sends.poll(cx, &directives)).await
}

/// One send in progress; dropping it cancels it.
struct Running<'a> {
    attempt: Attempt,
    result: BoxFuture<'a, SendResult>,
}

/// Sends of one call.
struct Sends<'a> {
    context: &'a CallContext,
    parts: &'a RequestParts,
    running: Vec<Running<'a>>,
    /// The latest failed send's answer.
    failed: Option<Box<FailedAnswer>>,
    /// The pool's refusal, while a silent send may still be answered.
    refused: Option<Refusal>,
}

/// An error that the pool answers a call with.
#[derive(Clone, Copy)]
struct Refusal {
    kind: ErrorKind,
    retry_after: Option<Duration>,
}

impl Sends<'_> {
    fn poll(&mut self, cx: &mut Context<'_>, directives: &Directives) -> Poll<Followed> {
        loop {
            if let Some(head) = self.poll_running(cx) {
                return Poll::Ready(Followed::Began(head));
            }
            if let Some(refusal) = self.refused.filter(|_| self.running.is_empty()) {
                return Poll::Ready(self.refuse(refusal));
            }
            let Poll::Ready(directive) = directives.poll_next(cx) else { return Poll::Pending };
            if let Some(followed) = self.take(directive) {
                return Poll::Ready(followed);
            }
        }
    }

    /// Polls every send and returns the first answer that is to be passed on.
    fn poll_running(&mut self, cx: &mut Context<'_>) -> Option<Box<Head>> {
        let mut index = 0;
        while index < self.running.len() {
            let Poll::Ready(result) = Pin::new(&mut self.running[index].result).poll(cx) else {
                index += 1;
                continue;
            };
            drop(self.running.swap_remove(index));
            match result {
                SendResult::Answered(head) => return Some(head),
                SendResult::Failed(failed) => self.failed = Some(failed),
                SendResult::Nothing => {}
            }
        }
        None
    }

    fn take(&mut self, directive: Directive) -> Option<Followed> {
        match directive {
            Directive::Send { attempt, target } => {
                if self.parts.is_spent() {
                    return Some(Followed::Refused(ErrorKind::TargetRefused, None));
                }
                self.context.first_send.note(self.context.kernel.clock.now());
                let result = send(self.context, self.parts, attempt, target).boxed();
                self.running.push(Running { attempt, result });
                None
            }
            Directive::Cancel { attempt } => {
                self.running.retain(|r| r.attempt != attempt);
                None
            }
            Directive::Deliver { .. } => self.failed.take().map(Followed::Failed),
            Directive::Refuse { kind, retry_after } => {
                self.refused = Some(Refusal { kind, retry_after });
                None
            }
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> Followed {
        let failed = self.failed.take().map(Followed::Failed);
        failed.unwrap_or(Followed::Refused(refusal.kind, refusal.retry_after))
    }
}
