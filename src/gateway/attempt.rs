//! One attempt of a call: the choice of a target, with the wait in the service's queue if necessary, and the send.

use std::{
    pin::Pin,
    sync::{PoisonError, atomic::Ordering},
};

use tokio::time::timeout_at;

use super::{
    call_context::CallContext,
    exchange::{SendResult, send},
    forward::forward,
    probe,
    request_log::{RepeatCause, RequestEvent},
};
use crate::{
    decide::{
        directory::Listing,
        probed_pool::{Choice, ChoiceRequest},
        probed_target::HealthSignal,
        suspects::Admission,
        wait_queue::QueuePosition,
        wait_stage::{CallTimes, WaitStage},
    },
    error::ErrorKind,
};

/// Result of one attempt to choose a target and send the call to it.
#[derive(Debug)]
pub enum AttemptResult {
    /// The result of the send, or of forwarding the call.
    Sent(SendResult),
    /// Why nothing was sent.
    NotSent(ErrorKind),
}

/// A call that waits in its service's queue for a target; it leaves the queue when this is dropped.
struct QueuedCall<'a> {
    call: &'a CallContext,
    position: QueuePosition,
}

impl<'a> QueuedCall<'a> {
    fn new(call: &'a CallContext) -> Self {
        let mut service_pools = call.gateway.service_pools();
        let position = service_pools.join_queue(&call.service, call.route.spec.priority, call.arrived);
        Self { call, position }
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let are_others_waiting =
            self.call.gateway.service_pools().leave_queue(&self.call.service, self.position);
        if are_others_waiting {
            self.call.gateway.state_changed.notify_waiters();
        }
    }
}

/// Chooses a target, waiting in the service's queue if necessary, and sends the call to it.
pub async fn attempt(call: &CallContext, is_hedge: bool) -> AttemptResult {
    let gateway = &call.gateway;
    let started = gateway.now();
    let times = CallTimes {
        arrived: call.arrived,
        deadline: call.deadline,
        objective: call.route.spec.objective,
        usual_time: gateway.service_pools().usual_time(&call.service),
    };
    let mut probe_rounds = 0;
    let mut queued = None;
    loop {
        let mut changed = Box::pin(gateway.state_changed.notified());
        // Registered before the state is read, so that no change is missed.
        Pin::as_mut(&mut changed).enable();
        let now = gateway.now();
        let (stage, mut stage_until) = times.stage(now, started);
        let send_until = call.send_until();
        stage_until = stage_until.min(send_until);
        match call.admission() {
            _ if now >= send_until => return AttemptResult::NotSent(ErrorKind::Leaving),
            Admission::Quarantined(_) => return AttemptResult::NotSent(ErrorKind::Quarantined),
            _ if call.is_path_closed() => {
                drop(queued);
                return forward_attempt(call, is_hedge).await;
            }
            Admission::Send => {}
            Admission::Wait if is_hedge || now >= times.give_up_at(started) => {
                return AttemptResult::NotSent(ErrorKind::Overloaded);
            }
            Admission::Wait => {
                // It holds up no other calls meanwhile.
                queued = None;
                let recheck_at = gateway.clock.instant(times.give_up_at(started));
                // After a timeout, the next iteration gives up.
                let _change_or_timeout = timeout_at(recheck_at, changed).await;
                continue;
            }
        }
        call.count();
        if is_hedge {
            stage_until = stage_until.min(times.hedge_until(started));
            if stage != WaitStage::FastSlot || now >= stage_until {
                return AttemptResult::NotSent(ErrorKind::Overloaded);
            }
        }
        let give_up_at = if is_hedge { stage_until } else { times.give_up_at(started) };
        // From the stage of spare slots on, the call takes only slots that no queued call can use.
        let is_queued = !is_hedge && !matches!(stage, WaitStage::SpareSlot | WaitStage::Expired);
        if is_queued != queued.is_some() {
            queued = is_queued.then(|| QueuedCall::new(call));
        }
        let tried = call.tried();
        let position = queued.as_ref().map(|q| q.position);
        let competes = is_hedge || position.is_some();
        let request = ChoiceRequest { excluded: &tried, probe_rounds, stage, calls_ahead: 0, give_up_at };
        let choice = call.choose_target(now, position, competes, request);
        let recheck_at = match choice {
            Choice::Send(listing) => {
                if is_hedge && !spend_hedge(call) {
                    let (service, target) = (&call.service, &listing.id);
                    gateway.service_pools().record_end(now, service, target, HealthSignal::Neutral);
                    return AttemptResult::NotSent(ErrorKind::Overloaded);
                }
                drop(queued);
                return AttemptResult::Sent(send_and_record(call, listing, probe_rounds).await);
            }
            Choice::NoTarget => return AttemptResult::NotSent(no_target_error(call)),
            Choice::Probe(listings) => {
                probe_rounds += 1;
                for listing in listings {
                    probe::start(gateway, listing);
                }
                stage_until
            }
            Choice::Wait(time) => stage_until.min(now + time),
        };
        // After a timeout, the next iteration decides with the state at that time.
        let _change_or_timeout = timeout_at(gateway.clock.instant(recheck_at), changed).await;
    }
}

fn no_target_error(call: &CallContext) -> ErrorKind {
    let has_target = call.gateway.service_pools().has_target(&call.service);
    if has_target { ErrorKind::Overloaded } else { ErrorKind::NoTarget }
}

/// Forwards the call to another instance, unless it has been forwarded to this one.
async fn forward_attempt(call: &CallContext, is_hedge: bool) -> AttemptResult {
    if call.forwarded.is_some() {
        return AttemptResult::NotSent(ErrorKind::NoPath);
    }
    if is_hedge && !spend_hedge(call) {
        return AttemptResult::NotSent(ErrorKind::Overloaded);
    }
    call.is_forwarding.store(true, Ordering::Release);
    match forward(call).await {
        Some(result) => AttemptResult::Sent(result),
        None => AttemptResult::NotSent(ErrorKind::NoPath),
    }
}

fn spend_hedge(call: &CallContext) -> bool {
    let within_budget = call.gateway.service_pools().try_spend_repeat(call.gateway.now(), &call.service);
    call.gateway.metrics.record_repeat(RepeatCause::Late, within_budget);
    call.record(RequestEvent::Repeat { cause: RepeatCause::Late, within_budget });
    within_budget
}

async fn send_and_record(call: &CallContext, listing: Listing, rounds: u32) -> SendResult {
    let target = listing.id.clone();
    call.tried.lock().unwrap_or_else(PoisonError::into_inner).push(target.clone());
    let now = call.gateway.now();
    *call.latest_send.lock().unwrap_or_else(PoisonError::into_inner) = Some((listing.clone(), now));
    let (reading, rate_limit) = {
        let service_pools = call.gateway.service_pools();
        let reading = service_pools.latest_reading(now, &listing.service, &target);
        (reading, service_pools.rate_limit(&listing.service, &target))
    };
    if rate_limit.is_some() {
        call.gateway.metrics.record_send_to_limited();
    }
    call.record(RequestEvent::Sent { target: target.clone(), reading, rate_limit, rounds });
    let result = send(call, listing).await;
    let outcome = result.outcome();
    let response = result.response_summary(&call.gateway.platform.headers);
    call.gateway.metrics.record_send(outcome);
    let process = if let SendResult::Lost(process) = result { Some(process) } else { None };
    let failure = if let SendResult::Unsent(failure) = result { failure } else { None };
    if let Some(process) = process {
        call.gateway.metrics.record_lost_send(process);
    }
    call.record(RequestEvent::SendEnded { target, outcome, response, process, failure });
    result
}
