//! Wraps a platform driver with this instance's rate limits and circuit breaker.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use serde::{Deserialize, Serialize};

use super::{
    DriverFn, Platform, ReadError, WriteResult,
    breaker::{CallResult, CircuitBreaker},
    rate_limit::{Access, Purpose, StoreRateLimiter},
};
use crate::{kernel::clock::Clock, plan::Budgets};

/// Longest wait for the rate limit; a request that would have to wait longer is refused at once.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Parts of [`Admission`] that change with each request.
#[derive(Debug)]
struct State {
    limiter: StoreRateLimiter,
    breaker: CircuitBreaker,
}

/// Numbers of requests to the platform since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Requests that the platform did not answer, both reads and writes.
    pub silent: u64,
    /// Requests not sent because of the rate limit.
    pub over_share: u64,
    /// Requests not sent because the breaker was open.
    pub breaker_open: u64,
}

/// Atomic counters behind [`StoreCounts`].
#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    unanswered: AtomicU64,
    rate_limited: AtomicU64,
    breaker_open: AtomicU64,
}

/// Rate limiter, breaker and counters that all requests of one instance pass.
#[derive(Debug)]
struct Admission {
    clock: Clock,
    state: Mutex<State>,
    counters: Counters,
}

/// Reason why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotSent {
    RateLimited,
    BreakerOpen,
}

impl Admission {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the rate limiter, at most [`MAX_WAIT`], then checks the breaker, and counts the result.
    async fn admit(&self, purpose: Purpose, access: Access) -> Result<(), NotSent> {
        let result = self.acquire(purpose, access).await;
        let result = result.and_then(|()| self.check_breaker());
        let counter = match (result, access) {
            (Ok(()), Access::Read) => &self.counters.reads,
            (Ok(()), Access::Write) => &self.counters.writes,
            (Err(NotSent::RateLimited), _) => &self.counters.rate_limited,
            (Err(NotSent::BreakerOpen), _) => &self.counters.breaker_open,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        result
    }

    async fn acquire(&self, purpose: Purpose, access: Access) -> Result<(), NotSent> {
        let deadline = self.clock.now() + MAX_WAIT;
        loop {
            let now = self.clock.now();
            let Err(wait) = self.lock().limiter.acquire(purpose, access, now) else { return Ok(()) };
            if now + wait > deadline {
                return Err(NotSent::RateLimited);
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn check_breaker(&self) -> Result<(), NotSent> {
        let now = self.clock.now();
        if self.lock().breaker.admit(now) { Ok(()) } else { Err(NotSent::BreakerOpen) }
    }

    fn record(&self, result: CallResult) {
        if result == CallResult::Unanswered {
            self.counters.unanswered.fetch_add(1, Ordering::Relaxed);
        }
        let now = self.clock.now();
        self.lock().breaker.record(result, now);
    }
}

/// Platform driver with rate limits and a circuit breaker; each purpose gets a driver of its own.
#[derive(Debug, Clone)]
pub struct GuardedPlatform {
    inner: Platform,
    admission: Arc<Admission>,
}

impl GuardedPlatform {
    /// Wraps a driver; `seed` seeds the jitter of the breaker.
    pub fn new(inner: Platform, clock: Clock, seed: u64) -> Self {
        let limiter = StoreRateLimiter::new(&Budgets::default());
        let state = Mutex::new(State { limiter, breaker: CircuitBreaker::new(seed) });
        Self { inner, admission: Arc::new(Admission { clock, state, counters: Counters::default() }) }
    }

    /// Sets the rate limits to the budgets of a new plan.
    pub fn set_budgets(&self, budgets: &Budgets) {
        self.admission.lock().limiter.set_budgets(budgets);
    }

    /// Returns the numbers of requests so far.
    pub fn counts(&self) -> StoreCounts {
        let counters = &self.admission.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreCounts {
            reads: read(&counters.reads),
            writes: read(&counters.writes),
            silent: read(&counters.unanswered),
            over_share: read(&counters.rate_limited),
            breaker_open: read(&counters.breaker_open),
        }
    }

    /// Returns whether the breaker is open or half-open.
    pub fn is_breaker_open(&self) -> bool {
        self.admission.lock().breaker.is_open()
    }

    /// Returns a driver whose requests count towards `purpose`.
    pub fn for_purpose(&self, purpose: Purpose) -> Platform {
        let reads = Guard { admission: Arc::clone(&self.admission), purpose, access: Access::Read };
        let writes = Guard { admission: Arc::clone(&self.admission), purpose, access: Access::Write };
        let inner = self.inner.clone();
        Platform {
            name: inner.name,
            get: reads.read(inner.get),
            scan: reads.read(inner.scan),
            write: writes.write(inner.write),
            get_object: reads.read(inner.get_object),
            put_object: writes.write(inner.put_object),
            list_objects: reads.read(inner.list_objects),
            list_instances: reads.read(inner.list_instances),
            register: writes.read(inner.register),
        }
    }
}

/// Wraps driver functions of one purpose and access, so that each call passes the admission first.
#[derive(Debug, Clone)]
struct Guard {
    admission: Arc<Admission>,
    purpose: Purpose,
    access: Access,
}

impl Guard {
    /// Wraps one function: `not_sent` gives the result of a refused call, `classify` that of a call for the
    /// breaker.
    fn wrap<In: Send + 'static, Out: Send + 'static>(
        &self,
        call: DriverFn<In, Out>,
        not_sent: fn(NotSent) -> Out,
        classify: fn(&Out) -> CallResult,
    ) -> DriverFn<In, Out> {
        let guard = self.clone();
        Arc::new(move |input| -> BoxFuture<'static, Out> {
            let (guard, call) = (guard.clone(), Arc::clone(&call));
            async move {
                if let Err(reason) = guard.admission.admit(guard.purpose, guard.access).await {
                    return not_sent(reason);
                }
                let output = call(input).await;
                guard.admission.record(classify(&output));
                output
            }
            .boxed()
        })
    }

    fn read<In: Send + 'static, T: Send + 'static>(
        &self,
        call: DriverFn<In, Result<T, ReadError>>,
    ) -> DriverFn<In, Result<T, ReadError>> {
        let not_sent = |reason| match reason {
            NotSent::RateLimited => Err(ReadError::Throttled),
            NotSent::BreakerOpen => Err(ReadError::Unavailable),
        };
        let classify = |result: &Result<T, ReadError>| match result {
            Err(ReadError::Unavailable) => CallResult::Unanswered,
            Ok(_) | Err(ReadError::Throttled) => CallResult::Answered,
        };
        self.wrap(call, not_sent, classify)
    }

    fn write<In: Send + 'static>(&self, call: DriverFn<In, WriteResult>) -> DriverFn<In, WriteResult> {
        // A write that was not sent has no effect.
        let not_sent = |_reason| WriteResult::Refused;
        let classify = |result: &WriteResult| match result {
            WriteResult::Unknown => CallResult::Unanswered,
            WriteResult::TookEffect(_) | WriteResult::Conflict(_) => CallResult::Answered,
            WriteResult::Refused => CallResult::Inconclusive,
        };
        self.wrap(call, not_sent, classify)
    }
}
