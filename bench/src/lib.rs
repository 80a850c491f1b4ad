//! Stand-ins, load, trace replay and experiments for arbutusshelf; not shipped.

pub mod client;
pub mod deployment;
pub mod http;
pub mod platform;
pub mod store_outage;
pub mod target;
pub mod tour;
