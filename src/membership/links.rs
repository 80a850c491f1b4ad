//! Chooses which instances link to each other: all pairs in a small deployment; in a larger one, all pairs
//! within a data centre and a few pairs between two data centres.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::units::{DataCentre, RunId};

/// Largest number of instances, including this one, that form a full mesh.
pub const FULL_MESH_INSTANCES: usize = 20;

/// Number of linked pairs between two data centres in a deployment larger than [`FULL_MESH_INSTANCES`].
pub const PAIRS_BETWEEN_DATA_CENTRES: usize = 3;

/// Multiplier of the final mix of a hash: 2^64 divided by the golden ratio, odd.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Instance at one end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkEndpoint {
    /// Identifier of the instance's process.
    pub run_id: RunId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
}

/// Returns the instances among `others` that `own` links to.
///
/// Between two data centres, the pairs with the highest hashes are linked (rendezvous hashing). Instances
/// that know the same members therefore choose the same pairs, and the loss of an instance replaces only the
/// pairs that it was part of.
///
/// ```
/// use arbutusshelf::{membership::links::{LinkEndpoint, choose_links}, units::RunId};
///
/// let end = |run: u64| LinkEndpoint {
///     run_id: RunId::from(run),
///     data_centre: "ost-a".parse().expect("a name"),
/// };
/// assert_eq!(choose_links(&end(1), &[end(2), end(3)]).len(), 2);
/// ```
pub fn choose_links(own: &LinkEndpoint, others: &[LinkEndpoint]) -> Vec<RunId> {
    if others.len() < FULL_MESH_INSTANCES {
        return others.iter().map(|e| e.run_id).collect();
    }
    let same_data_centre = others.iter().filter(|e| e.data_centre == own.data_centre);
    let mut links = same_data_centre.clone().map(|e| e.run_id).collect::<Vec<_>>();
    let local = same_data_centre.map(|e| e.run_id).chain([own.run_id]).collect::<Vec<_>>();
    let mut data_centres =
        others.iter().map(|e| &e.data_centre).filter(|d| **d != own.data_centre).collect::<Vec<_>>();
    data_centres.sort();
    data_centres.dedup();
    for data_centre in data_centres {
        let remote = others.iter().filter(|e| e.data_centre == *data_centre).map(|e| e.run_id);
        let remote = remote.collect::<Vec<_>>();
        links.extend(chosen_pairs(&local, &remote).filter(|(a, _)| *a == own.run_id).map(|(_, b)| b));
    }
    links
}

/// Returns the pairs to link between two data centres.
fn chosen_pairs(local: &[RunId], remote: &[RunId]) -> impl Iterator<Item = (RunId, RunId)> {
    let mut pairs = local.iter().flat_map(|a| remote.iter().map(|b| (*a, *b))).collect::<Vec<_>>();
    pairs.sort_by_key(|(a, b)| std::cmp::Reverse((pair_hash(*a, *b), *a.min(b), *a.max(b))));
    pairs.into_iter().take(PAIRS_BETWEEN_DATA_CENTRES)
}

/// Returns the hash of a pair, which is the same from both ends.
fn pair_hash(a: RunId, b: RunId) -> u64 {
    let mut hasher = FxHasher::default();
    (a.min(b), a.max(b)).hash(&mut hasher);
    // FxHasher mixes low bits poorly, so multiply and fold the halves of the product.
    let product = u128::from(hasher.finish()) * u128::from(HASH_MULTIPLIER);
    (product >> 64) as u64 ^ product as u64
}
