//! Which seeds an instance follows, and in which order of preference.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::units::InstanceId;

/// Returns the seeds that the instance `own` at `own_address` may follow, the preferred one first.
///
/// All instances sort the seeds by address. A seed may follow only the seeds before it, which rules out
/// cycles. Any other instance may follow every seed; a hash of its name decides which one it prefers, so that
/// the followers spread over the seeds instead of loading the network link of one.
pub fn follow_order(seeds: &[SocketAddr], own_address: SocketAddr, own: &InstanceId) -> Vec<SocketAddr> {
    let mut seeds = seeds.to_vec();
    seeds.sort_unstable();
    seeds.dedup();
    if seeds.contains(&own_address) {
        return seeds.into_iter().take_while(|seed| *seed != own_address).collect();
    }
    let name_hash = Sha256::digest(own.as_str());
    let first = usize::from(name_hash[0]) % seeds.len().max(1);
    seeds.rotate_left(first);
    seeds
}
