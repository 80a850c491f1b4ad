//! Which instances an instance may follow, and in which order; pure.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::units::InstanceId;

/// Returns the seeds that an instance may follow, the preferred one first: those before it, or all if it is none.
///
/// All instances see the seeds in one order. Those that are no seeds begin at a place that depends on their name, so that no
/// seed's link carries what is passed on to all of them.
pub fn follow_order(seeds: &[SocketAddr], own_address: SocketAddr, own: &InstanceId) -> Vec<SocketAddr> {
    let mut seeds = seeds.to_vec();
    seeds.sort_unstable();
    seeds.dedup();
    if seeds.contains(&own_address) {
        return seeds.into_iter().take_while(|seed| *seed != own_address).collect();
    }
    let by_name = Sha256::digest(own.as_str());
    let first = usize::from(by_name[0]) % seeds.len().max(1);
    seeds.rotate_left(first);
    seeds
}
