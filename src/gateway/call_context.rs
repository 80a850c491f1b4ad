//! The state of one call that its sends and its end share.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use hyper::header::HeaderValue;

use super::{
    Gateway,
    request_log::{RequestEnd, RequestEvent, RequestLog},
};
use crate::{
    decide::{
        directory::Listing,
        probed_pool::{Choice, ChoiceRequest},
        suspects::{Admission, RequestIdentity},
        wait_queue::QueuePosition,
    },
    peer::forward::ForwardHeader,
    plan::RequestKind,
    proxy::upload::RequestParts,
    routing::{Route, RoutingVersion},
    units::{MonoTime, ServiceName, TargetId},
};

/// A call that has been checked and routed, with the state that its sends share.
#[derive(Debug)]
pub struct CallContext {
    /// State that all calls share.
    pub gateway: Arc<Gateway>,
    /// Identifier that the caller gave the request; empty if it gave none.
    pub request_id: HeaderValue,
    /// Route that the request's host and path match.
    pub route: Arc<Route>,
    /// Version of the routing table that the route is from.
    pub routing_version: RoutingVersion,
    /// Service that was chosen by the weights of the route's backends.
    pub service: ServiceName,
    /// When the head of the request arrived.
    pub arrived: MonoTime,
    /// When the caller must have its response: its own deadline or the route's timeout, whichever is earlier.
    pub deadline: MonoTime,
    /// Head and body of the request.
    pub parts: RequestParts,
    /// Address of the caller.
    pub caller: IpAddr,
    /// What another instance states that has forwarded the request; `None` if it comes from a caller.
    pub(super) forwarded: Option<Box<ForwardHeader>>,
    /// Whether the request has been counted for the repeat budget, here or at the other instance.
    pub(super) is_counted: AtomicBool,
    /// Whether the request has been or is being forwarded to another instance.
    pub(super) is_forwarding: AtomicBool,
    /// Identity of the request, the same for all attempts of its caller.
    pub identity: RequestIdentity,
    /// Targets to which the request was sent, or for which a connection was tried.
    pub(super) tried: Mutex<Vec<TargetId>>,
    /// Target and time of the latest send; `None` until the first one.
    pub(super) latest_send: Mutex<Option<(Listing, MonoTime)>>,
    /// Sends that have reached a connection and may have been executed, as far as is known.
    pub(super) open_sends: AtomicU32,
    /// Decisions on the call, for the log.
    pub(super) log: RequestLog,
    /// Whether a response of a target goes to the caller; sends that are dropped after that show nothing.
    pub is_answered: Arc<AtomicBool>,
    /// Whether the end of the call has been logged and counted.
    pub(super) is_ended: AtomicBool,
}

impl CallContext {
    /// Returns the time until the deadline, zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    pub(super) fn tried(&self) -> Vec<TargetId> {
        self.tried.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records that a target may execute the request from now on.
    pub fn record_send_start(&self) {
        self.open_sends.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a send was not executed and will not be.
    pub fn record_not_executed(&self) {
        self.open_sends.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of sends that may have been executed.
    pub fn open_send_count(&self) -> u32 {
        self.open_sends.load(Ordering::Acquire)
    }

    /// Returns whether the request has been counted for the repeat budget.
    pub fn is_counted(&self) -> bool {
        self.is_counted.load(Ordering::Acquire)
    }

    /// Counts the request for the repeat budget of the instance that sends it to targets, unless that has been done.
    pub(super) fn count(&self) {
        if !self.is_counted.swap(true, Ordering::AcqRel) {
            self.gateway.service_pools().record_request(self.arrived, &self.service);
        }
    }

    /// Returns whether this instance has no path to the targets of the service.
    pub(super) fn is_path_closed(&self) -> bool {
        self.gateway.target_paths().is_closed(&self.service)
    }

    /// Returns the target and time of the latest send.
    pub(super) fn latest_send(&self) -> Option<(Listing, MonoTime)> {
        self.latest_send.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the time after which its caller should send the request again: when the quarantine ends, or when its
    /// service is expected to have room.
    pub(super) fn retry_after(&self) -> Duration {
        let gateway = &self.gateway;
        if let Admission::Quarantined(remaining) = self.admission() {
            return remaining;
        }
        let (now, instances) = (gateway.now(), gateway.instance_count_or_default());
        gateway.service_pools().retry_after(now, &self.service, instances)
    }

    /// Returns the time until which the call may be sent to a target, as far as a shutdown sets one.
    pub(super) fn send_until(&self) -> MonoTime {
        let Some(times) = self.gateway.shutdown_times() else { return MonoTime::MAX };
        times.send_until(self.deadline, self.gateway.service_pools().usual_time(&self.service))
    }

    /// Chooses a target. `position` is that in the queue, if the call is queued; `competes` says whether it lets the calls
    /// go first that are ahead of it.
    pub(super) fn choose_target(
        &self,
        now: MonoTime,
        position: Option<QueuePosition>,
        competes: bool,
        request: ChoiceRequest<'_>,
    ) -> Choice {
        let mut service_pools = self.gateway.service_pools();
        let calls_ahead = if competes { service_pools.ahead_of(&self.service, position) } else { 0 };
        service_pools.choose_target(now, &self.service, &ChoiceRequest { calls_ahead, ..request })
    }

    /// Records a decision for the log.
    pub fn record(&self, event: RequestEvent) {
        self.log.record(self.gateway.now(), event);
    }

    /// Logs and counts the end of the call; later invocations do nothing.
    pub(super) fn end(&self, end: RequestEnd) {
        if self.is_ended.swap(true, Ordering::AcqRel) {
            return;
        }
        let now = self.gateway.now();
        self.log.end(now, end, &self.gateway.request_log_limiter);
        let result = match end {
            RequestEnd::Answered(status) => format!("status-{}xx", status / 100),
            RequestEnd::Refused(kind) => kind.to_string(),
            RequestEnd::CallerLeft => "caller-left".to_owned(),
        };
        let kind = self.route.spec.kind;
        self.gateway.metrics.record_request(&self.service, kind, result, now.since(self.arrived));
    }

    /// Returns whether the request may be sent now, as far as targets have ended under it.
    pub(super) fn admission(&self) -> Admission {
        self.gateway.suspects().admission(self.gateway.now(), self.identity)
    }

    /// Returns whether a target has ended under the request.
    pub(super) fn is_suspect(&self) -> bool {
        self.gateway.suspects().ends(self.identity) > 0
    }

    /// Returns whether too many targets have ended under the request for this instance to send it again by itself.
    pub(super) fn is_repeat_harmful(&self) -> bool {
        !self.gateway.suspects().may_repeat(self.identity)
    }

    /// Returns whether the request may be executed more than once and its whole body is buffered.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.spec.kind == RequestKind::Idempotent && self.parts.upload.is_none()
    }
}

impl Drop for CallContext {
    fn drop(&mut self) {
        self.end(RequestEnd::CallerLeft);
    }
}
