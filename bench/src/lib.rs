//! Test bench of arbutusshelf: stand-ins (test doubles) for the platform, the store, targets and workers,
//! load tests, measurements, trace replay and experiments. It is not part of a release.

pub mod allocations;
pub mod caller_cuts;
pub mod claim_load;
pub mod client;
pub mod control;
pub mod deployment;
pub mod endless;
pub mod endless_cost;
pub mod experiment;
pub mod fault_run;
pub mod flood;
pub mod generate;
pub mod http;
pub mod latency;
pub mod observe_cost;
pub mod plan_size;
pub mod platform;
pub mod pool_cost;
pub mod process;
pub mod relay;
pub mod replay;
pub mod rows;
pub mod scripted;
pub mod soak;
pub mod store_outage;
pub mod target;
pub mod test_instance;
pub mod tour;
pub mod trace;
pub mod worker;
