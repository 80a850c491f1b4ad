//! Links between instances: typed frames over HTTP/2 streams, limited by one byte budget per instance.

pub mod budget;
pub mod drain_notices;
pub mod forward;
pub mod frame;
pub mod link;
pub mod loads;
pub mod patch;
pub mod receive;
pub mod state;
