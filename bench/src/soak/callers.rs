//! Callers of a soak. They reuse connections, and some close theirs before the response has arrived.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    history::{Attempt, AttemptKind, AttemptResult},
    schedule::FatalKind,
};
use crate::client::Caller;

/// Host of all routes.
pub const ROUTE_HOST: &str = "hall.example";

/// Timeout of all routes, in milliseconds.
pub const ROUTE_TIMEOUT_MS: u64 = 1_500;

/// Mean pause of a caller between two requests, in milliseconds.
const MEAN_PAUSE_MS: u64 = 50;

/// Share of requests that are at-most-once.
const AT_MOST_ONCE_SHARE: f64 = 0.3;

/// Share of requests whose caller closes the connection early.
const EARLY_LEAVE_SHARE: f64 = 0.06;

/// Part of the paths of requests that end workers.
pub const FATAL_MARKER: &str = "/fatal-";

/// Range of the pause between two attempts of such a request, in milliseconds.
const FATAL_PAUSE_MS: std::ops::Range<u64> = 50..900;

/// Share of idempotent requests to routes that the operator adds and removes during the soak.
const TEMPORARY_ROUTE_SHARE: f64 = 0.15;

/// State that all callers of a soak share.
#[derive(Debug)]
pub struct CallerContext {
    /// Start of the soak; all times of the history count from it.
    pub start: Instant,
    /// Address of the relay in front of each instance, by instance number.
    pub instance_addresses: Vec<SocketAddr>,
    /// Path prefixes of routes that were added during the soak, including some that were removed shortly
    /// before.
    pub route_prefixes: Mutex<Vec<String>>,
    /// Attempts that have ended.
    pub attempts: Mutex<Vec<Attempt>>,
    /// Time until which requests are sent, in milliseconds since the start.
    pub until_ms: AtomicU64,
}

impl CallerContext {
    /// Returns the milliseconds since the start of the soak.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Sends requests one after the other until [`CallerContext::until_ms`]. Changes the instance at random and after a missing
/// response.
pub async fn run_caller(context: Arc<CallerContext>, number: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number as u64 + 1));
    let caller = Caller::default();
    let mut instance = rng.random_range(0..context.instance_addresses.len());
    let mut sent = 0;
    while context.now_ms() < context.until_ms.load(Ordering::Acquire) {
        if rng.random_bool(0.1) {
            instance = rng.random_range(0..context.instance_addresses.len());
        }
        let attempt = send_attempt(&context, &caller, &mut rng, instance, format!("s{number}-{sent}")).await;
        let has_no_response = matches!(attempt.result, AttemptResult::NoResponse(_));
        context.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
        if has_no_response {
            instance = rng.random_range(0..context.instance_addresses.len());
        }
        sent += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..2 * MEAN_PAUSE_MS))).await;
    }
}

/// Sends one random request and waits for the response, or closes the connection early.
async fn send_attempt(
    context: &CallerContext,
    caller: &Caller,
    rng: &mut SmallRng,
    instance: usize,
    id: String,
) -> Attempt {
    let kind =
        if rng.random_bool(AT_MOST_ONCE_SHARE) { AttemptKind::AtMostOnce } else { AttemptKind::Idempotent };
    let (method, path, body) = match kind {
        AttemptKind::AtMostOnce => {
            (Method::POST, format!("/charge/{id}"), format!("booking {id}").into_bytes())
        }
        AttemptKind::Idempotent => {
            let prefixes = context.route_prefixes.lock().unwrap_or_else(PoisonError::into_inner);
            let is_temporary = !prefixes.is_empty() && rng.random_bool(TEMPORARY_ROUTE_SHARE);
            let prefix = if is_temporary { &prefixes[rng.random_range(0..prefixes.len())] } else { "/read/" };
            (Method::GET, format!("{prefix}{id}"), Vec::new())
        }
    };
    let leave_after =
        rng.random_bool(EARLY_LEAVE_SHARE).then(|| Duration::from_millis(rng.random_range(5..60)));
    send(context, caller, instance, SoakRequest { id, kind, method, path, body, leave_after }).await
}

/// Sends a request to one instance and records it.
pub async fn ask(context: &CallerContext, instance: usize, path: String, id: String) {
    let kind = AttemptKind::Idempotent;
    let request = SoakRequest { id, kind, method: Method::GET, path, body: Vec::new(), leave_after: None };
    let attempt = send(context, &Caller::default(), instance, request).await;
    context.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
}

/// Sends a request that ends workers again and again, to any instance.
pub async fn run_fatal_caller(context: Arc<CallerContext>, kind: FatalKind, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let caller = Caller::default();
    let mut sent = 0;
    while context.now_ms() < context.until_ms.load(Ordering::Acquire) {
        let id = format!("f{seed}-{sent}");
        let (method, path, body, kind) = match kind {
            FatalKind::Charge => {
                let path = format!("/charge{FATAL_MARKER}{seed}");
                (Method::POST, path, b"booking".to_vec(), AttemptKind::AtMostOnce)
            }
            FatalKind::Read | FatalKind::VaryingRead => {
                let query =
                    if kind == FatalKind::VaryingRead { format!("?page={sent}") } else { String::new() };
                (
                    Method::GET,
                    format!("/read{FATAL_MARKER}{seed}{query}"),
                    Vec::new(),
                    AttemptKind::Idempotent,
                )
            }
        };
        let instance = rng.random_range(0..context.instance_addresses.len());
        let request = SoakRequest { id, kind, method, path, body, leave_after: None };
        let attempt = send(&context, &caller, instance, request).await;
        context.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(FATAL_PAUSE_MS))).await;
    }
}

/// One request of a caller.
struct SoakRequest {
    id: String,
    kind: AttemptKind,
    method: Method,
    path: String,
    body: Vec<u8>,
    /// Time after which the caller closes the connection.
    leave_after: Option<Duration>,
}

async fn send(context: &CallerContext, caller: &Caller, instance: usize, request: SoakRequest) -> Attempt {
    let SoakRequest { id, kind, method, path, body, leave_after } = request;
    let address = context.instance_addresses[instance];
    let request = Request::builder()
        .method(method.clone())
        .uri(format!("http://{address}{path}"))
        .header("Host", ROUTE_HOST)
        .header("X-Attempt-Id", &id)
        .header("X-Request-Deadline-Ms", ROUTE_TIMEOUT_MS + 500)
        .body(Full::new(Bytes::from(body.clone())))
        .unwrap_or_default();
    let sent_ms = context.now_ms();
    let response = caller.send(request);
    let result = match leave_after {
        None => classify(&id, response.await),
        Some(leave_after) => match tokio::time::timeout(leave_after, response).await {
            Ok(response) => classify(&id, response),
            Err(_) => AttemptResult::CallerLeft,
        },
    };
    Attempt {
        id,
        kind,
        instance,
        request_line: format!("{method} {path}"),
        body,
        sent_ms,
        timeout_ms: ROUTE_TIMEOUT_MS,
        ended_ms: context.now_ms(),
        result,
    }
}

fn classify(
    id: &str,
    response: Result<crate::client::CompleteResponse, crate::client::IncompleteResponse>,
) -> AttemptResult {
    match response {
        Ok(response) => AttemptResult::Answered {
            status: response.status,
            is_sealed: response.headers.contains_key("x-response-seal"),
            is_own_body: response.body == format!("body of {id}"),
        },
        Err(e) => AttemptResult::NoResponse(e.0),
    }
}
