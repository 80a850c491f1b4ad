//! Identity of a request, which is the same for all attempts of its caller at all instances.

use std::{hash::Hasher, net::IpAddr};

use hyper::{
    header::{self, HeaderValue},
    http::request::Parts,
};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::units::RequestDigest;

/// Bytes of a body that identify it. Longer bodies that begin alike count as the same.
const IDENTIFYING_BODY_BYTES: usize = 64 << 10;

/// Secret key of the hashes, the same at all instances that exchange them.
///
/// Without it, nobody can tell from a hash what a request contained, or make two requests with the same one.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
pub struct IdentityKey([u8; 16]);

impl std::fmt::Debug for IdentityKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("IdentityKey(..)")
    }
}

/// Identity of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Hash of caller, host, path, body, method and query.
    pub exact: RequestDigest,
    /// Hash of caller, host, path and body. A caller may vary the others from one attempt to the next.
    pub path: RequestDigest,
}

impl RequestIdentity {
    /// Returns the identity of a request of the caller at an address. `body` is the whole body, or at least its
    /// first [`IDENTIFYING_BODY_BYTES`].
    pub fn new(key: IdentityKey, caller: IpAddr, head: &Parts, body: &[u8]) -> Self {
        let mut hasher = SipHasher13::new_with_key(&key.0);
        let mut add = |part: &[u8]| {
            // The length keeps neighbouring parts apart.
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        };
        let host = head.headers.get(header::HOST).map(HeaderValue::as_bytes);
        let host = host.or_else(|| head.uri.host().map(str::as_bytes)).unwrap_or_default();
        add(caller.to_string().as_bytes());
        add(&host.to_ascii_lowercase());
        add(head.uri.path().as_bytes());
        add(&body[..body.len().min(IDENTIFYING_BODY_BYTES)]);
        let path = hasher.finish128().as_u128();
        let mut add = |part: &[u8]| {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        };
        add(head.method.as_str().as_bytes());
        add(head.uri.query().unwrap_or_default().as_bytes());
        Self { exact: hasher.finish128().as_u128().into(), path: path.into() }
    }
}
