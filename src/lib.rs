//! Load balancer for servers whose load changes within milliseconds.
//!
//! The decisions in [`decide`] are pure state machines without I/O, which other programs can embed. The
//! modules around them, such as [`proxy`] and [`peer`], turn network traffic into their events and carry out
//! their actions.

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
pub mod store_position;
pub mod units;
