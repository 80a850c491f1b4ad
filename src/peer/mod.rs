//! Links between instances: typed frames over h2 streams under one byte budget.

pub mod budget;
pub mod drain_notices;
pub mod frame;
pub mod link;
pub mod loads;
pub mod receive;
pub mod state;
