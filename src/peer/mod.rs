//! Links between instances: typed frames over h2 streams.

pub mod frame;
pub mod link;
