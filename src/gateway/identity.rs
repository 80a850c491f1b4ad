//! Identity of a request, which is the same for all attempts of its caller at all instances.

use std::{hash::Hasher, net::IpAddr};

use derive_more::{From, Into};
use hyper::{
    header::{self, HeaderValue},
    http::request::Parts,
};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::decide::suspects::RequestIdentity;

/// Bytes of a body that identify it. Longer bodies that begin alike count as the same.
const IDENTIFYING_BODY_BYTES: usize = 64 << 10;

/// Secret key of the hashes, the same at all instances that exchange them.
///
/// Without it, nobody can tell from a hash what a request contained, or make two requests with the same one.
#[derive(Clone, Copy, PartialEq, Eq, From, Into)]
pub struct IdentityKey([u8; IdentityKey::BYTES]);

impl std::fmt::Debug for IdentityKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("IdentityKey(..)")
    }
}

impl IdentityKey {
    /// Length of a key.
    pub const BYTES: usize = 16;

    /// Creates a random key.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the identity of a request of the caller at an address. `body` is the whole body, or at least its
    /// first [`IDENTIFYING_BODY_BYTES`].
    pub fn identify(self, caller: IpAddr, head: &Parts, body: &[u8]) -> RequestIdentity {
        let mut hasher = SipHasher13::new_with_key(&self.0);
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
        RequestIdentity { exact: hasher.finish128().as_u128().into(), path: path.into() }
    }
}
