//! Seeing what the instance does: counts, metrics and the burn report.

pub mod report;
pub mod tally;
