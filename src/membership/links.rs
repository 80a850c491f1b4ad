//! Which instances link to each other: all pairs while they are few, else few pairs between data centres.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::units::{DataCentre, RunId};

/// Most instances that are linked pair by pair.
pub const FULL_MESH_INSTANCES: usize = 20;

/// Pairs linked between two data centres beyond [`FULL_MESH_INSTANCES`].
pub const PAIRS_BETWEEN_DATA_CENTRES: usize = 3;

/// Odd multiplier of the final mix: 2^64 divided by the golden ratio.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// One end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkEndpoint {
    /// Run of an instance.
    pub run_id: RunId,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// Returns the runs that `own` links to among `others`.
///
/// The pairs between two data centres have the highest hashes of all their pairs (rendezvous hashing), so
/// that every instance with the same members finds the same pairs and a lost instance moves only its own.
///
/// ```
/// use arbutusshelf::{membership::links::{LinkEndpoint, choose_links}, units::RunId};
///
/// let end = |run: u64| LinkEndpoint { run_id: RunId::from(run), data_centre: "ost-a".parse().expect("a name") };
/// assert_eq!(choose_links(&end(1), &[end(2), end(3)]).len(), 2);
/// ```
pub fn choose_links(own: &LinkEndpoint, others: &[LinkEndpoint]) -> Vec<RunId> {
    if others.len() < FULL_MESH_INSTANCES {
        return others.iter().map(|e| e.run_id).collect();
    }
    let near = others.iter().filter(|e| e.data_centre == own.data_centre);
    let mut links = near.clone().map(|e| e.run_id).collect::<Vec<_>>();
    let home = near.map(|e| e.run_id).chain([own.run_id]).collect::<Vec<_>>();
    let mut data_centres =
        others.iter().map(|e| &e.data_centre).filter(|d| **d != own.data_centre).collect::<Vec<_>>();
    data_centres.sort();
    data_centres.dedup();
    for data_centre in data_centres {
        let away = others.iter().filter(|e| e.data_centre == *data_centre).map(|e| e.run_id);
        let away = away.collect::<Vec<_>>();
        links.extend(chosen_pairs(&home, &away).filter(|(a, _)| *a == own.run_id).map(|(_, b)| b));
    }
    links
}

fn chosen_pairs(home: &[RunId], away: &[RunId]) -> impl Iterator<Item = (RunId, RunId)> {
    let mut pairs = home.iter().flat_map(|a| away.iter().map(|b| (*a, *b))).collect::<Vec<_>>();
    pairs.sort_by_key(|(a, b)| std::cmp::Reverse((score(*a, *b), *a.min(b), *a.max(b))));
    pairs.into_iter().take(PAIRS_BETWEEN_DATA_CENTRES)
}

/// Hash of a pair, the same from both ends.
fn score(a: RunId, b: RunId) -> u64 {
    let mut hasher = FxHasher::default();
    (a.min(b), a.max(b)).hash(&mut hasher);
    // The fast hash mixes low bits poorly, so fold the halves of a product.
    let product = u128::from(hasher.finish()) * u128::from(MIX);
    (product >> 64) as u64 ^ product as u64
}
