//! Headers of requests that one instance forwards to another one, and of the responses to them.

use std::net::IpAddr;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use hyper::header::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::units::{InstanceId, ServiceName};

/// Header of a forwarded request with its encoded [`ForwardHeader`]. Only the address for other instances accepts it.
pub const FORWARD: HeaderName = HeaderName::from_static("arbutusshelf-forward");

/// Header of the response to a forwarded request, with the name of the instance that has handled it.
pub const FORWARDED_TO: HeaderName = HeaderName::from_static("arbutusshelf-forwarded-to");

/// Longest encoded header that is decoded, in bytes.
const MAX_ENCODED_BYTES: usize = 1 << 10;

/// What the receiving instance can't tell from a forwarded request itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// Instance that forwards the request.
    pub from: InstanceId,
    /// Instance that should handle it; another one may have its address by now.
    pub to: InstanceId,
    /// Address of the caller, which is part of the request's identity.
    pub caller: IpAddr,
    /// Service that was chosen by the weights of the route's backends.
    pub service: ServiceName,
    /// Version of the routing table by which it was chosen; an instance with an older one must not handle the request.
    pub routing_version: u64,
    /// Milliseconds since the request arrived from its caller.
    pub elapsed_ms: u32,
    /// Earlier sends of the request to targets that may have executed it.
    pub sends: u32,
    /// Whether the request has been counted for the repeat budget.
    pub is_counted: bool,
}

impl ForwardHeader {
    /// Encodes the header's value.
    pub fn encode(&self) -> Option<HeaderValue> {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()?;
        HeaderValue::from_str(&STANDARD_NO_PAD.encode(bytes)).ok()
    }

    /// Decodes a header's value; `None` if it is malformed.
    pub fn decode(value: &HeaderValue) -> Option<Self> {
        let text = value.as_bytes();
        if text.len() > MAX_ENCODED_BYTES {
            return None;
        }
        let bytes = STANDARD_NO_PAD.decode(text).ok()?;
        let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
        let (header, read) = bincode::serde::decode_from_slice(&bytes, config).ok()?;
        (read == bytes.len()).then_some(header)
    }
}
