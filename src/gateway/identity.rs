//! Identity of a request, which is the same for all attempts of its caller at all instances.

use std::{hash::Hasher, net::IpAddr};

use derive_more::{From, Into};
use hyper::{header, http::request::Parts};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::{decide::suspects::RequestIdentity, routing::host_name};

/// Bytes of a body that identify it. Longer bodies that begin alike count as the same.
const IDENTIFYING_BODY_BYTES: usize = 64 << 10;

/// Key that an instance uses for its hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyInUse {
    /// The key.
    pub key: IdentityKey,
    /// Whether the store or another instance has it, too. Until then, the instance counts by itself.
    pub is_shared: bool,
}

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
    /// first `IDENTIFYING_BODY_BYTES`.
    pub fn identify(self, caller: IpAddr, head: &Parts, body: &[u8]) -> RequestIdentity {
        let mut hasher = SipHasher13::new_with_key(&self.0);
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host_name(host.or_else(|| head.uri.host()).unwrap_or_default());
        add(&mut hasher, host.to_ascii_lowercase().as_bytes());
        add(&mut hasher, head.uri.path().as_bytes());
        add(&mut hasher, &body[..body.len().min(IDENTIFYING_BODY_BYTES)]);
        let content = hasher.finish128().as_u128().into();
        add(&mut hasher, caller.to_string().as_bytes());
        let path = hasher.finish128().as_u128().into();
        add(&mut hasher, head.method.as_str().as_bytes());
        add(&mut hasher, head.uri.query().unwrap_or_default().as_bytes());
        RequestIdentity { exact: hasher.finish128().as_u128().into(), path, content }
    }
}

/// Adds a part with its length, which keeps neighbouring parts apart.
fn add(hasher: &mut SipHasher13, part: &[u8]) {
    hasher.write_u64(part.len() as u64);
    hasher.write(part);
}
