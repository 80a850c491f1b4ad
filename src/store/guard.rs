//! The platform behind this instance's shares and circuit breaker.

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

/// Longest wait for a share; beyond it the request is refused at once.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct State {
    limiter: StoreRateLimiter,
    breaker: CircuitBreaker,
}

/// Requests to the platform since the start of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Requests that the platform did not answer.
    pub silent: u64,
    /// Requests not sent for lack of a share.
    pub over_share: u64,
    /// Requests not sent because the breaker was open.
    pub breaker_open: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    silent: AtomicU64,
    over_share: AtomicU64,
    breaker_open: AtomicU64,
}

#[derive(Debug)]
struct Admission {
    clock: Clock,
    state: Mutex<State>,
    counters: Counters,
}

/// Why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotSent {
    OverShare,
    BreakerOpen,
}

impl Admission {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a share within the limit, then asks the breaker.
    async fn enter(&self, purpose: Purpose, access: Access) -> Result<(), NotSent> {
        let result = self.acquire(purpose, access).await;
        let result = result.and_then(|()| self.ask_breaker());
        let counter = match (result, access) {
            (Ok(()), Access::Read) => &self.counters.reads,
            (Ok(()), Access::Write) => &self.counters.writes,
            (Err(NotSent::OverShare), _) => &self.counters.over_share,
            (Err(NotSent::BreakerOpen), _) => &self.counters.breaker_open,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        result
    }

    async fn acquire(&self, purpose: Purpose, access: Access) -> Result<(), NotSent> {
        let give_up_at = self.clock.now() + LONGEST_WAIT;
        loop {
            let now = self.clock.now();
            let Err(wait) = self.lock().limiter.acquire(purpose, access, now) else { return Ok(()) };
            if now + wait > give_up_at {
                return Err(NotSent::OverShare);
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn ask_breaker(&self) -> Result<(), NotSent> {
        let now = self.clock.now();
        if self.lock().breaker.admit(now) { Ok(()) } else { Err(NotSent::BreakerOpen) }
    }

    fn record(&self, health: CallResult) {
        if health == CallResult::Unanswered {
            self.counters.silent.fetch_add(1, Ordering::Relaxed);
        }
        let now = self.clock.now();
        self.lock().breaker.record(health, now);
    }
}

/// The platform with shares and breaker in front, one view a purpose.
#[derive(Debug, Clone)]
pub struct GuardedPlatform {
    inner: Platform,
    admission: Arc<Admission>,
}

impl GuardedPlatform {
    /// Puts shares and a breaker in front of a driver.
    pub fn new(inner: Platform, clock: Clock, seed: u64) -> Self {
        let limiter = StoreRateLimiter::new(&Budgets::default());
        let state = Mutex::new(State { limiter, breaker: CircuitBreaker::new(seed) });
        Self { inner, admission: Arc::new(Admission { clock, state, counters: Counters::default() }) }
    }

    /// Follows the budgets of a new plan.
    pub fn set_budgets(&self, budgets: &Budgets) {
        self.admission.lock().limiter.set_budgets(budgets);
    }

    /// Returns the requests counted.
    pub fn counts(&self) -> StoreCounts {
        let counters = &self.admission.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreCounts {
            reads: read(&counters.reads),
            writes: read(&counters.writes),
            silent: read(&counters.silent),
            over_share: read(&counters.over_share),
            breaker_open: read(&counters.breaker_open),
        }
    }

    /// Returns whether the breaker holds requests back.
    pub fn is_breaker_open(&self) -> bool {
        self.admission.lock().breaker.is_open()
    }

    /// Returns the platform as seen for one purpose.
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

/// Puts the admission before functions of one purpose and access.
#[derive(Debug, Clone)]
struct Guard {
    admission: Arc<Admission>,
    purpose: Purpose,
    access: Access,
}

impl Guard {
    fn wrap<In: Send + 'static, Out: Send + 'static>(
        &self,
        call: DriverFn<In, Out>,
        not_sent: fn(NotSent) -> Out,
        health: fn(&Out) -> CallResult,
    ) -> DriverFn<In, Out> {
        let guard = self.clone();
        Arc::new(move |input| -> BoxFuture<'static, Out> {
            let (guard, call) = (guard.clone(), Arc::clone(&call));
            async move {
                if let Err(reason) = guard.admission.enter(guard.purpose, guard.access).await {
                    return not_sent(reason);
                }
                let output = call(input).await;
                guard.admission.record(health(&output));
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
            NotSent::OverShare => Err(ReadError::Throttled),
            NotSent::BreakerOpen => Err(ReadError::Unavailable),
        };
        let health = |result: &Result<T, ReadError>| match result {
            Err(ReadError::Unavailable) => CallResult::Unanswered,
            Ok(_) | Err(ReadError::Throttled) => CallResult::Answered,
        };
        self.wrap(call, not_sent, health)
    }

    fn write<In: Send + 'static>(&self, call: DriverFn<In, WriteResult>) -> DriverFn<In, WriteResult> {
        // Not sent, so provably without effect.
        let not_sent = |_reason| WriteResult::Refused;
        let health = |result: &WriteResult| match result {
            WriteResult::Unknown => CallResult::Unanswered,
            WriteResult::TookEffect(_) | WriteResult::Conflict(_) => CallResult::Answered,
            WriteResult::Refused => CallResult::Inconclusive,
        };
        self.wrap(call, not_sent, health)
    }
}
