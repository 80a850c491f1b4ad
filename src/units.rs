//! Newtypes for names, versions, sizes, rates and points in time.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use derive_more::{Add, Display, From, FromStr, Into, Sum};
use serde::{Deserialize, Serialize};

/// Longest name that a sheet or a settings file may give, in bytes.
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
    /// Name of one entry instance.
    InstanceId
}
name_type! {
    /// Name of one target of a service's pool.
    TargetId
}
name_type! {
    /// Name of a service; the first path segment of its calls.
    ServiceName
}
name_type! {
    /// Name of a data centre.
    DataCentre
}
name_type! {
    /// Identifier an operator gives to one change of the plan.
    ChangeId
}

/// Random identifier of one run of an instance process.
///
/// Addresses and instance names are reused; run ids are not.
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

/// Version of the plan; rises by one with each accepted change, 0 before the first.
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

/// Number of one call within one run of an instance.
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

/// Rate in events a second.
#[derive(
    Debug, Clone, Copy, PartialEq, PartialOrd, Default, Display, FromStr, Serialize, Deserialize, From, Into,
)]
pub struct PerSecond(f64);

/// Point on a monotonic clock, in microseconds since an arbitrary origin.
///
/// Points of different processes can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, FromStr, From, Into)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Returns the time from `earlier` to here, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `span` earlier, `None` before the origin.
    #[must_use]
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        self.0.checked_sub(u64::try_from(span.as_micros()).ok()?).map(Self)
    }

    /// Returns the microseconds since the origin.
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
