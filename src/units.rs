//! Newtypes for identifiers, versions, sizes, rates and points in time.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use derive_more::{Add, Display, From, FromStr, Into, Sum};
use serde::{Deserialize, Serialize};

/// Maximum length of a name in the configuration, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_' and '.'")]
pub struct NameError {
    text: String,
}

fn parse_name(text: &str) -> Result<Arc<str>, NameError> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    let valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed);
    if !valid {
        return Err(NameError { text: text.chars().take(MAX_NAME_BYTES).collect() });
    }
    Ok(Arc::from(text))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(
            /// Invariant: 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `-`, `_` and `.`.
            Arc<str>,
        );

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// Name of an instance (a process of this load balancer), unique within the deployment.
    InstanceId
}
name_type! {
    /// Name of a target, unique within the pool of its service.
    TargetId
}
name_type! {
    /// Name of a service, a group of interchangeable targets. With a configuration plan it is the first path
    /// segment of the request; in a gateway the routing table decides which service a request goes to.
    ServiceName
}
name_type! {
    /// Name of a data centre.
    DataCentre
}
name_type! {
    /// Identifier that an operator gives to one change of the configuration plan, so that a repeated
    /// submission is recognised.
    ChangeId
}

/// Random identifier of one run of an instance process.
///
/// Unlike addresses and instance names, a run id is never reused after a restart.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize, From, Into,
)]
#[display("{_0:016x}")]
pub struct RunId(u64);

impl FromStr for RunId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Keyed hash that identifies a request over all attempts to send it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize, From, Into,
)]
#[display("{_0:032x}")]
pub struct RequestDigest(u128);

impl FromStr for RequestDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Version of the configuration plan; rises by one with each accepted change, and is 0 before the first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    FromStr,
    Serialize,
    Deserialize,
    From,
    Into,
)]
pub struct PlanVersion(u64);

impl PlanVersion {
    /// Returns the version after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Number of a call, unique within one run of an instance process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, From, Into)]
pub struct CallId(u64);

/// Size in bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    FromStr,
    Serialize,
    Deserialize,
    From,
    Into,
    Add,
    Sum,
)]
pub struct ByteCount(u64);

/// Rate in events per second.
#[derive(
    Debug, Clone, Copy, PartialEq, PartialOrd, Default, Display, FromStr, Serialize, Deserialize, From, Into,
)]
pub struct PerSecond(f64);

/// Point in time on a monotonic clock, in microseconds since an arbitrary origin.
///
/// Times of different processes can't be compared, since each process has its own origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, FromStr, From, Into)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Latest point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time elapsed from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` before `self`, or `None` if that lies before the origin.
    #[must_use]
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        self.0.checked_sub(u64::try_from(span.as_micros()).ok()?).map(Self)
    }

    /// Returns the number of microseconds since the origin.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub for MonoTime {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
