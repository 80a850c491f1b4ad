//! Stand-ins, load, trace replay and experiments for arbutusshelf; not shipped.

pub mod client;
pub mod deployment;
pub mod experiment;
pub mod generate;
pub mod http;
pub mod platform;
pub mod replay;
pub mod target;
pub mod tour;
pub mod trace;
