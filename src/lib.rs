//! Coordination parts of a load balancer for servers whose load shifts in milliseconds.
//!
//! The decisions in [`decide`] are pure state machines that others can embed; the edges turn bytes into
//! events and actions into bytes.

pub mod collections;
pub mod decide;
pub mod error;
pub mod peer;
pub mod plan;
pub mod platform;
pub mod units;
