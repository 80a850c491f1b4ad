//! Forwards a call to another instance, which has a path to the targets that this one can't reach.
//!
//! A forwarded call is not forwarded again, so it takes one hop at most. The instance that gets it chooses the
//! targets, repeats and hedges; its answer, also a refusal, is the answer to the caller.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Response, body::Incoming, header::HeaderValue};
use tokio::time::timeout;

use super::{
    Gateway,
    call_context::CallContext,
    exchange::{SendResult, TargetResponse},
    passed_body::BodyGuard,
    request_log::{RequestEvent, ResponseSummary, SendOutcome},
    response::ResponseBody,
};
use crate::{
    decide::{
        target_response::{Meaning, interpret},
        unconfirmed_ends::ProcessState,
    },
    error::{ErrorKind, Outcome},
    kernel::in_progress::RequestGuard,
    peer::forward::{FORWARD, FORWARDED_TO, ForwardHeader},
    plan::RequestKind,
    proxy::{
        connection::{Connection, ExchangeResult, ReusePolicy},
        headers,
    },
    units::{InstanceId, MonoTime},
};

/// Instances that a call is offered to, one after the other, until one takes it.
const MAX_INSTANCES_TRIED: usize = 3;

/// Time limit for a connection to another instance of the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Connections to one other instance. Each carries one request at a time.
const MAX_CONNECTIONS: usize = 64;

/// Causes of a refusal for which another instance may still serve the call: they are states of the instance that
/// refuses, not of the service.
const INSTANCE_CAUSES: [ErrorKind; 4] =
    [ErrorKind::NoPath, ErrorKind::NoPlan, ErrorKind::Leaving, ErrorKind::UnknownService];

/// A call in progress at another instance; the connection is closed when it is dropped before its end.
#[derive(Debug)]
pub struct ForwardGuard {
    gateway: Arc<Gateway>,
    instance: InstanceId,
    connection: Option<Connection>,
    /// When the call was sent; `None` once there is a response, and before.
    awaited_since: Option<MonoTime>,
    /// Time after which an instance that has not responded is avoided.
    patience: Duration,
    _in_progress: RequestGuard,
}

impl ForwardGuard {
    fn new(call: &CallContext, instance: InstanceId) -> Self {
        let gateway = Arc::clone(&call.gateway);
        let in_progress = gateway.track_request();
        let patience = call.route.spec.objective;
        Self { gateway, instance, connection: None, awaited_since: None, patience, _in_progress: in_progress }
    }

    /// Ends the call with a complete response and keeps the connection.
    pub fn completed(mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    fn avoid_instance(&self, cause: &str) {
        log::info!("event=peer-avoided instance={} cause={cause}", self.instance);
        self.gateway.peer_paths().record_unreachable(self.gateway.now(), &self.instance);
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.gateway.peer_paths().end_request(&self.instance);
        let now = self.gateway.now();
        if self.awaited_since.is_some_and(|at| now.since(at) > self.patience) {
            self.avoid_instance("silent");
        }
    }
}

/// What became of an offer of a call to one instance.
enum Offer {
    /// The result of the call.
    Taken(SendResult),
    /// The instance has not taken it, and another one may.
    NotTaken,
}

/// Forwards a call to an instance that states that it has a path. Returns `None` if there is none that takes it.
pub async fn forward(call: &CallContext) -> Option<SendResult> {
    let gateway = &call.gateway;
    let mut tried = Vec::new();
    while tried.len() < MAX_INSTANCES_TRIED && !call.remaining().is_zero() {
        let chosen = gateway.peer_paths().choose(gateway.now(), &call.service, &tried, &mut rand::rng());
        let (instance, address) = chosen?;
        tried.push(instance.clone());
        let guard = ForwardGuard::new(call, instance.clone());
        let reuse = match call.route.spec.kind {
            RequestKind::Idempotent => ReusePolicy::AnyIdle,
            RequestKind::AtMostOnce | RequestKind::Unstated => ReusePolicy::RecentlyUsed,
        };
        let checkout = gateway.peer_connections.checkout(address, MAX_CONNECTIONS, reuse);
        let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, checkout).await else {
            guard.avoid_instance("connect");
            continue;
        };
        call.record(RequestEvent::Forwarded { instance: instance.clone() });
        let offer = offer(call, guard, connection, address).await?;
        let (outcome, response) = match &offer {
            Offer::Taken(result) => (result.outcome(), result.response_summary(&gateway.platform.headers)),
            Offer::NotTaken => (SendOutcome::NotRun, None),
        };
        gateway.metrics.record_forward(outcome);
        call.record(RequestEvent::ForwardEnded { instance, outcome, response });
        if let Offer::Taken(result) = offer {
            return Some(result);
        }
    }
    None
}

/// Sends a call to an instance. Returns `None` if it can't be sent to any, since its body has been consumed or its head
/// can't be forwarded.
async fn offer(
    call: &CallContext,
    mut guard: ForwardGuard,
    mut connection: Connection,
    address: SocketAddr,
) -> Option<Offer> {
    let gateway = &call.gateway;
    let header = forward_header(call, &guard.instance).encode()?;
    let mut request = call.parts.build_request(call.parts.take_body()?, address)?;
    let remaining_ms = u64::try_from(call.remaining().as_millis()).unwrap_or(u64::MAX);
    let fields = request.headers_mut();
    fields.insert(&gateway.platform.headers.deadline_ms, HeaderValue::from(remaining_ms));
    fields.insert(FORWARD, header);
    call.record_send_start();
    guard.awaited_since = Some(gateway.now());
    match connection.send(request).await {
        ExchangeResult::Answered(response) => {
            guard.awaited_since = None;
            guard.connection = Some(connection);
            Some(read_response(call, guard, response))
        }
        ExchangeResult::Unsent(request) => {
            guard.awaited_since = None;
            call.record_not_executed();
            call.parts.restore_body(request.into_body());
            Some(Offer::NotTaken)
        }
        ExchangeResult::Lost => {
            guard.awaited_since = None;
            guard.avoid_instance("lost");
            Some(Offer::Taken(SendResult::Lost(ProcessState::Unknown)))
        }
    }
}

fn forward_header(call: &CallContext, to: &InstanceId) -> ForwardHeader {
    let elapsed_ms = call.gateway.now().since(call.arrived).as_millis();
    ForwardHeader {
        from: call.gateway.config().instance.clone(),
        to: to.clone(),
        caller: call.caller,
        service: call.service.clone(),
        routing_version: call.routing_version.into(),
        elapsed_ms: u32::try_from(elapsed_ms).unwrap_or(u32::MAX),
        sends: call.open_send_count(),
        is_counted: call.is_counted(),
    }
}

fn read_response(call: &CallContext, guard: ForwardGuard, response: Response<Incoming>) -> Offer {
    let (mut head, body) = response.into_parts();
    let fields = &head.headers;
    let is_expected = fields.get(FORWARDED_TO).is_some_and(|name| name == guard.instance.as_str());
    let request_id = fields.get(&call.gateway.platform.headers.request_id);
    if !is_expected || request_id.is_some_and(|id| *id != call.request_id) {
        guard.avoid_instance("unexpected-response");
        return Offer::Taken(SendResult::Lost(ProcessState::Unknown));
    }
    let states_not_run =
        fields.get(headers::OUTCOME).is_some_and(|text| *text == Outcome::NotRun.to_string());
    let meaning = interpret(call.route.spec.kind, head.status.as_u16(), states_not_run);
    // Instances of earlier releases forward such responses of their targets.
    let unusable = match meaning {
        Meaning::UnconfirmedRefusal => Some(ErrorKind::RefusalUnconfirmed),
        Meaning::InvalidStatus => Some(ErrorKind::StatusInvalid),
        Meaning::Final | Meaning::NotRun => None,
    };
    if let Some(kind) = unusable {
        let summary = ResponseSummary::new(head.status, fields, &call.gateway.platform.headers);
        return Offer::Taken(SendResult::Unusable(summary, kind));
    }
    if meaning == Meaning::NotRun {
        call.record_not_executed();
        let cause = fields.get(headers::CAUSE);
        let is_of_instance =
            INSTANCE_CAUSES.iter().any(|kind| cause.is_some_and(|text| *text == kind.to_string()));
        if is_of_instance && !call.parts.is_body_consumed() {
            guard.avoid_instance("refused");
            return Offer::NotTaken;
        }
    }
    let own_fields = [headers::OUTCOME, headers::CAUSE].map(|name| (fields.get(&name).cloned(), name));
    headers::make_forwardable(&mut head);
    for (value, name) in own_fields {
        if let Some(value) = value {
            head.headers.insert(name, value);
        }
    }
    let deadline = call.gateway.clock.instant(call.deadline);
    let body = ResponseBody::streaming(VecDeque::new(), body, BodyGuard::Forward(guard), deadline);
    Offer::Taken(SendResult::Answered(Box::new(TargetResponse { head, body })))
}
