//! Queue of directives from a pool to one call.
//!
//! A call rarely gets more than one directive, so the first is stored inline; a channel would allocate space
//! for dozens.

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
    /// Directives after the first; empty while `first` is `None`.
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

/// Sending half of a call's directive queue, held by the pool.
#[derive(Debug, Default)]
pub struct Mailbox(Arc<Shared>);

impl Mailbox {
    /// Queues a directive and wakes the call's task.
    pub fn push(&self, directive: Directive) {
        self.0.queue.lock().unwrap_or_else(PoisonError::into_inner).push(directive);
        self.0.waker.wake();
    }

    /// Returns the receiving half.
    pub fn receiver(&self) -> DirectiveReceiver {
        DirectiveReceiver(Arc::clone(&self.0))
    }
}

/// Receiving half of a call's directive queue, held by the call; yields directives in the order in which the
/// pool issued them.
#[derive(Debug)]
pub struct DirectiveReceiver(Arc<Shared>);

impl DirectiveReceiver {
    /// Returns the next directive, or registers the task to be woken. Only one task may poll at a time.
    pub fn poll_next(&self, cx: &Context<'_>) -> Poll<Directive> {
        let take = || self.0.queue.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if let Some(directive) = take() {
            return Poll::Ready(directive);
        }
        self.0.waker.register(cx.waker());
        take().map_or(Poll::Pending, Poll::Ready)
    }
}
