//! Coordination parts of a load balancer for servers whose load shifts in milliseconds.
//!
//! The decisions in [`decide`] are pure state machines that others can embed; the edges turn bytes into
//! events and actions into bytes.

pub mod admin;
pub mod claims;
pub mod cli;
pub mod collections;
pub mod commands;
pub mod decide;
pub mod error;
pub mod gateway;
pub mod kernel;
pub mod logging;
pub mod membership;
pub mod observe;
pub mod peer;
pub mod plan;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod proxy;
pub mod routing;
pub mod serve;
pub mod settings;
pub mod store;
pub mod units;
