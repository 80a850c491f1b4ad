//! At-most-once requests of a fault run, each following from its number and the seed.

use arbutusshelf::proxy::headers::{ATTEMPT, IDEMPOTENCY_KEY};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{deployment::InProcessInstance, target::generate_content};

/// Bytes of the larger answers; beyond what a row holds.
const LARGE_BYTES: usize = 40_000;

/// One at-most-once request.
pub(super) struct Charge {
    pub service: &'static str,
    pub number: usize,
    pub path: String,
    pub body_bytes: Option<usize>,
}

impl Charge {
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

    pub fn expected(&self) -> Bytes {
        let path = self.path.split('?').next().unwrap_or_default();
        match self.body_bytes {
            Some(size) => generate_content(path, size),
            None => Bytes::from(format!("\"{path}\"")),
        }
    }

    pub fn request(&self, instance: &InProcessInstance, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", instance.callers(), self.path))
            .header(IDEMPOTENCY_KEY, self.key());
        let request = if attempt > 0 { request.header(ATTEMPT, attempt) } else { request };
        request.body(Full::new(Bytes::from(format!("{{\"amount\":{}}}", self.number)))).ok()
    }
}
