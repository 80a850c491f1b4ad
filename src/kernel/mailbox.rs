//! DirectiveReceiver on their way from a pool to one call.
//!
//! A call gets one directive, rarely more, so the first has its place in the mailbox itself; a channel would
//! allocate room for dozens.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
};

use futures::task::AtomicWaker;

use super::pools::Directive;

#[derive(Debug, Default)]
struct DirectiveQueue {
    first: Option<Directive>,
    /// Later ones; empty while `first` is.
    later: VecDeque<Directive>,
}

impl DirectiveQueue {
    fn push(&mut self, directive: Directive) {
        if self.first.is_none() {
            self.first = Some(directive);
        } else {
            self.later.push_back(directive);
        }
    }

    fn pop(&mut self) -> Option<Directive> {
        let first = self.first.take()?;
        self.first = self.later.pop_front();
        Some(first)
    }
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<DirectiveQueue>,
    waker: AtomicWaker,
}

/// Where a pool leaves directives.
#[derive(Debug, Default)]
pub struct Mailbox(Arc<Shared>);

impl Mailbox {
    /// Leaves a directive and wakes the call.
    pub fn push(&self, directive: Directive) {
        self.0.queue.lock().unwrap_or_else(PoisonError::into_inner).push(directive);
        self.0.waker.wake();
    }

    /// Returns the call's end.
    pub fn receiver(&self) -> DirectiveReceiver {
        DirectiveReceiver(Arc::clone(&self.0))
    }
}

/// Where a call takes its directives, in the order in which the pool gave them.
#[derive(Debug)]
pub struct DirectiveReceiver(Arc<Shared>);

impl DirectiveReceiver {
    /// Takes the next directive; for one task at a time.
    pub fn poll_next(&self, cx: &Context<'_>) -> Poll<Directive> {
        let take = || self.0.queue.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if let Some(directive) = take() {
            return Poll::Ready(directive);
        }
        self.0.waker.register(cx.waker());
        take().map_or(Poll::Pending, Poll::Ready)
    }
}
