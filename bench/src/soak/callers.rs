//! Callers of a soak: they keep their connections, and some leave before their answer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::history::{Attempt, End, Kind};
use crate::client::Caller;

/// Host that all routes are of.
pub const HOST: &str = "hall.example";

/// Timeout of all routes, in milliseconds.
pub const TIMEOUT_MS: u64 = 1_500;

/// Mean pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 50;

/// Part of the requests that may not be repeated.
const CHARGE_PART: f64 = 0.3;

/// Part of the requests whose caller leaves early.
const LEAVE_PART: f64 = 0.06;

/// Part of the requests to routes that come and go.
const ROUTE_PART: f64 = 0.15;

/// What callers share.
#[derive(Debug)]
pub struct Shared {
    /// Start of the soak.
    pub start: Instant,
    /// Where each instance is called.
    pub instances: Vec<SocketAddr>,
    /// Starts of paths of routes that come and go; some exist no more.
    pub prefixes: Mutex<Vec<String>>,
    /// All attempts that have ended.
    pub attempts: Mutex<Vec<Attempt>>,
}

impl Shared {
    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Sends requests one after the other until a time; keeps to one instance for a while.
pub async fn call(shared: Arc<Shared>, number: usize, seed: u64, until_ms: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number as u64 + 1));
    let caller = Caller::default();
    let mut instance = rng.random_range(0..shared.instances.len());
    let mut sent = 0;
    while shared.now_ms() < until_ms {
        if rng.random_bool(0.1) {
            instance = rng.random_range(0..shared.instances.len());
        }
        let attempt = attempt(&shared, &caller, &mut rng, instance, format!("s{number}-{sent}")).await;
        let is_lost = matches!(attempt.end, End::Lost(_));
        shared.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
        if is_lost {
            instance = rng.random_range(0..shared.instances.len());
        }
        sent += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..2 * PAUSE_MS))).await;
    }
}

async fn attempt(
    shared: &Shared,
    caller: &Caller,
    rng: &mut SmallRng,
    instance: usize,
    id: String,
) -> Attempt {
    let kind = if rng.random_bool(CHARGE_PART) { Kind::AtMostOnce } else { Kind::Idempotent };
    let (method, path, body) = match kind {
        Kind::AtMostOnce => (Method::POST, format!("/charge/{id}"), format!("booking {id}").into_bytes()),
        Kind::Idempotent => {
            let prefixes = shared.prefixes.lock().unwrap_or_else(PoisonError::into_inner);
            let is_route = !prefixes.is_empty() && rng.random_bool(ROUTE_PART);
            let prefix = if is_route { &prefixes[rng.random_range(0..prefixes.len())] } else { "/read/" };
            (Method::GET, format!("{prefix}{id}"), Vec::new())
        }
    };
    let address = shared.instances[instance];
    let request = Request::builder()
        .method(method.clone())
        .uri(format!("http://{address}{path}"))
        .header("Host", HOST)
        .header("X-Attempt-Id", &id)
        .header("X-Request-Deadline-Ms", TIMEOUT_MS + 500)
        .body(Full::new(Bytes::from(body.clone())))
        .unwrap_or_default();
    let patience = rng.random_bool(LEAVE_PART).then(|| Duration::from_millis(rng.random_range(5..60)));
    let sent_ms = shared.now_ms();
    let answer = caller.send(request);
    let end = match patience {
        None => end(&id, answer.await),
        Some(patience) => match tokio::time::timeout(patience, answer).await {
            Ok(answer) => end(&id, answer),
            Err(_) => End::Left,
        },
    };
    Attempt {
        id,
        kind,
        instance,
        line: format!("{method} {path}"),
        body,
        sent_ms,
        timeout_ms: TIMEOUT_MS,
        ended_ms: shared.now_ms(),
        end,
    }
}

fn end(id: &str, answer: Result<crate::client::CompleteResponse, crate::client::IncompleteResponse>) -> End {
    match answer {
        Ok(answer) => End::Answered {
            status: answer.status,
            is_sealed: answer.headers.contains_key("x-response-seal"),
            is_own: answer.body == format!("body of {id}"),
        },
        Err(e) => End::Lost(e.0),
    }
}
