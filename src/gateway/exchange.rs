//! One send of a call to a target, and the checks that tell the target's own answer from anything else.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    http::response,
};

use super::{Gateway, answer::AnswerBody, call::CallHead, trail::SendOutcome};
use crate::{
    decide::{directory::Listing, probed::SendEnd},
    kernel::in_progress::RequestGuard,
    plan::RequestKind,
    proxy::{
        connection::{Connection, ExchangeResult, ReusePolicy, connection_limit},
        headers,
    },
    units::MonoTime,
};

/// Largest part of an answer that is held until all of it has arrived; the rest of larger ones is passed on.
///
/// An answer that arrives whole can be replaced by another target's when it breaks off.
const MAX_HELD_BYTES: usize = 256 << 10;

/// A target's answer.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Head.
    pub head: response::Parts,
    /// Body: whole, or begun.
    pub body: AnswerBody,
}

/// What one send gave.
#[derive(Debug)]
pub enum SendResult {
    /// The target's own answer.
    Answered(Box<TargetAnswer>),
    /// The target's own answer that it failed; the request has run.
    Failed(Box<TargetAnswer>),
    /// The target states that it did not run the request.
    NotRun,
    /// Nothing was sent.
    Unsent,
    /// It may have run, and no answer of the target came.
    Lost,
}

impl SendResult {
    /// Returns the kind of result.
    pub fn outcome(&self) -> SendOutcome {
        match self {
            Self::Answered(_) => SendOutcome::Answered,
            Self::Failed(_) => SendOutcome::Failed,
            Self::NotRun => SendOutcome::NotRun,
            Self::Unsent => SendOutcome::Unsent,
            Self::Lost => SendOutcome::Lost,
        }
    }
}

/// One send in progress; reports its end exactly once.
#[derive(Debug)]
pub struct SendGuard {
    gateway: Arc<Gateway>,
    listing: Listing,
    /// Reused once the answer is complete, closed otherwise.
    connection: Option<Connection>,
    started: MonoTime,
    takes_last_slot: bool,
    is_reported: bool,
    _in_progress: RequestGuard,
}

impl SendGuard {
    /// Starts a send that the fleet has chosen a target for.
    pub fn new(gateway: &Arc<Gateway>, listing: Listing, takes_last_slot: bool) -> Self {
        let in_progress = gateway.enter();
        Self {
            gateway: Arc::clone(gateway),
            listing,
            connection: None,
            started: gateway.now(),
            takes_last_slot,
            is_reported: false,
            _in_progress: in_progress,
        }
    }

    /// Ends the send with a whole answer and keeps the connection.
    pub fn answered(mut self) {
        self.give_back();
        self.report(SendEnd::Answered);
    }

    /// Ends the send with an answer that broke off.
    pub fn broke_off(mut self) {
        self.report(SendEnd::Failed);
    }

    fn give_back(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    fn report(&mut self, end: SendEnd) {
        if !std::mem::replace(&mut self.is_reported, true) {
            let now = self.gateway.now();
            let mut fleet = self.gateway.fleet();
            if end == SendEnd::Answered {
                fleet.took(&self.listing.service, now.since(self.started), self.takes_last_slot);
            }
            fleet.ended(now, &self.listing.service, &self.listing.id, end);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.report(SendEnd::Dropped);
    }
}

/// Sends a call to a target and waits for its answer, whole unless it is large.
pub async fn send(call: &CallHead, listing: Listing, takes_last_slot: bool) -> SendResult {
    let mut guard = SendGuard::new(&call.gateway, listing, takes_last_slot);
    let Some(mut connection) = checkout(call, &guard.listing).await else {
        guard.report(SendEnd::Failed);
        return SendResult::Unsent;
    };
    let Some(body) = call.parts.take_body() else { return SendResult::Unsent };
    let Some(mut request) = call.parts.build_request(body, guard.listing.address) else {
        return SendResult::Unsent;
    };
    let names = &call.gateway.place.headers;
    let remaining_ms = u64::try_from(call.remaining().as_millis()).unwrap_or(u64::MAX);
    let Ok(expected) = HeaderValue::from_str(guard.listing.id.as_str()) else { return SendResult::Unsent };
    let fields = request.headers_mut();
    fields.insert(&names.deadline_ms, HeaderValue::from(remaining_ms));
    fields.insert(&names.expected_target, expected);
    match connection.send(request).await {
        ExchangeResult::Answered(response) => {
            guard.connection = Some(connection);
            take_answer(call, guard, response).await
        }
        ExchangeResult::Unsent(request) => {
            call.parts.restore_body(request.into_body());
            SendResult::Unsent
        }
        ExchangeResult::Lost => {
            guard.report(SendEnd::Failed);
            SendResult::Lost
        }
    }
}

async fn checkout(call: &CallHead, listing: &Listing) -> Option<Connection> {
    let reuse = match call.route.spec.kind {
        RequestKind::Idempotent => ReusePolicy::AnyIdle,
        RequestKind::AtMostOnce | RequestKind::Unstated => ReusePolicy::RecentlyUsed,
    };
    connect(&call.gateway, listing, reuse).await
}

/// Returns a connection to a target within this instance's share.
pub async fn connect(gateway: &Gateway, listing: &Listing, reuse: ReusePolicy) -> Option<Connection> {
    let routing = gateway.routing()?;
    let service = routing.services.get(&listing.service)?;
    let limit = connection_limit(service.max_connections, gateway.sharers());
    gateway.connections.checkout(listing.address, limit, reuse).await
}

async fn take_answer(call: &CallHead, mut guard: SendGuard, response: Response<Incoming>) -> SendResult {
    let names = &call.gateway.place.headers;
    let fields = response.headers();
    if fields.get(&names.request_id).is_some_and(|id| *id != call.request_id) {
        // The answer to an earlier request on this connection.
        guard.report(SendEnd::Failed);
        return SendResult::Lost;
    }
    if let Some(reading) = fields.get(&names.load).and_then(call.gateway.place.decode_load) {
        let now = call.gateway.now();
        call.gateway.fleet().read(now, &guard.listing.service, &guard.listing.id, reading);
    }
    // A target that is not the one meant runs nothing, whether it says so besides or not.
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected || fields.contains_key(&names.not_run) {
        if let Ok(_whole) = response.into_body().collect().await {
            guard.give_back();
        }
        guard.report(SendEnd::Refused);
        return SendResult::NotRun;
    }
    let is_own = fields.contains_key(&names.proof) && !fields.contains_key(header::CONTENT_ENCODING);
    let is_success = response.status().is_success();
    if is_success && !is_own {
        guard.report(SendEnd::Failed);
        return SendResult::Lost;
    }
    let (mut head, body) = response.into_parts();
    headers::strip_non_forwardable(&mut head.headers);
    for name in [&names.load, &names.target_id] {
        head.headers.remove(name);
    }
    match hold(body).await {
        Held::Whole(pieces) => {
            let answer = Box::new(TargetAnswer { head, body: AnswerBody::whole(pieces) });
            if is_success {
                guard.answered();
                return SendResult::Answered(answer);
            }
            guard.give_back();
            guard.report(SendEnd::Failed);
            SendResult::Failed(answer)
        }
        Held::Partial(pieces, rest) => {
            let body = AnswerBody::partial(pieces, rest, guard);
            SendResult::Answered(Box::new(TargetAnswer { head, body }))
        }
        Held::Cut => {
            guard.broke_off();
            SendResult::Lost
        }
    }
}

/// A body as far as it is held.
enum Held {
    Whole(VecDeque<Bytes>),
    Partial(VecDeque<Bytes>, Incoming),
    Cut,
}

async fn hold(mut body: Incoming) -> Held {
    let mut pieces = VecDeque::new();
    let mut held_bytes = 0;
    loop {
        match body.frame().await {
            None => return Held::Whole(pieces),
            Some(Err(_)) => return Held::Cut,
            Some(Ok(frame)) => {
                let Ok(piece) = frame.into_data() else { continue };
                held_bytes += piece.len();
                pieces.push_back(piece);
                if held_bytes > MAX_HELD_BYTES {
                    return Held::Partial(pieces, body);
                }
            }
        }
    }
}
