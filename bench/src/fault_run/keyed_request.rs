//! At-most-once requests of a fault run, each derived from its number and the seed.

use arbutusshelf::proxy::headers::{ATTEMPT, IDEMPOTENCY_KEY};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{deployment::InProcessInstance, target::generate_content};

/// Size of the large response bodies, which do not fit into a row of the store.
const LARGE_BYTES: usize = 40_000;

/// One at-most-once request, identified by its idempotency key.
pub(super) struct KeyedRequest {
    pub service: &'static str,
    /// Number of the key in the run.
    pub number: usize,
    pub path: String,
    /// Size of the response body that the path asks for; `None` for a short body with the path.
    pub body_bytes: Option<usize>,
}

impl KeyedRequest {
    pub fn new(number: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 20);
        let service = if rng.random_bool(0.5) { "mietkasse" } else { "paarbuch" };
        let route = if service == "mietkasse" { "charges" } else { "confirmations" };
        let body_bytes = match rng.random_range(0..10) {
            0 => Some(LARGE_BYTES),
            1..=3 => Some(rng.random_range(1..2_000)),
            _ => None,
        };
        let query = body_bytes.map_or_else(String::new, |n| format!("&bytes={n}"));
        let work_us = rng.random_range(200..4_000);
        let path = format!("/{service}/{route}/{number}?work_us={work_us}{query}");
        Self { service, number, path, body_bytes }
    }

    pub fn key(&self) -> String {
        format!("key-{}", self.number)
    }

    /// Returns the response body that a target sends for this request.
    pub fn expected_body(&self) -> Bytes {
        let path = self.path.split('?').next().unwrap_or_default();
        match self.body_bytes {
            Some(size) => generate_content(path, size),
            None => Bytes::from(format!("\"{path}\"")),
        }
    }

    /// Builds the HTTP request to an instance; `attempt` counts the caller's retries.
    pub fn http_request(&self, instance: &InProcessInstance, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let http_request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", instance.callers(), self.path))
            .header(IDEMPOTENCY_KEY, self.key());
        let http_request = if attempt > 0 { http_request.header(ATTEMPT, attempt) } else { http_request };
        http_request.body(Full::new(Bytes::from(format!("{{\"amount\":{}}}", self.number)))).ok()
    }
}
