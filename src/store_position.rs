//! Places in the history of the platform's store.
//!
//! The store may come back from a copy that is some seconds old. It then loses its latest changes, and gives
//! their versions out again. A version alone therefore doesn't identify a state of the store.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Number that the store raises each time it comes back from an older copy; 0 if it states none.
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
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
pub struct StoreEra(u64);

/// A place in the store's history. Positions are compared as a whole: each one of a later era is later than
/// all of an earlier era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{era}.{version}")]
pub struct StorePosition {
    /// Era in which the store had this version.
    // The derived order compares the fields from the top, so the era must come first.
    pub era: StoreEra,
    /// Value of the store's version counter, which rises with each change within an era.
    pub version: u64,
}
