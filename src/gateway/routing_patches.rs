//! Patches by which the routing table is passed on from instance to instance.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;

use crate::peer::{
    frame::{RoutingRowPatch, StoreRow, StoreRows},
    patch::{Digest, Patch, PatchError},
};

/// Patches of the latest routing table that are kept. Followers of a seed have the same base, but for those that are
/// a version behind or have none.
const MAX_PATCHES: usize = 4;

/// The routing table that both ends of a link have, as the receiver got it on this link or stated at its start.
pub type RoutingBase = (Bytes, Digest);

/// Patches of the latest routing table, each made once for all followers.
#[derive(Debug, Default)]
pub struct RoutingPatches(Mutex<Option<Latest>>);

/// The latest routing table and its patches.
#[derive(Debug)]
struct Latest {
    value: Bytes,
    digest: Digest,
    /// By the digests of their bases, oldest first.
    patches: Vec<(Option<Digest>, Option<Patch>)>,
}

impl RoutingPatches {
    /// Returns the routing table `value` with its digest.
    pub fn base(&self, value: Bytes) -> RoutingBase {
        let digest = self.with_latest(&value, |latest| latest.digest);
        (value, digest)
    }

    /// Returns the patch from `base` to the routing table `value`; `None` if that is too large.
    pub fn patch(&self, base: Option<&RoutingBase>, value: &Bytes) -> Option<Patch> {
        self.with_latest(value, |latest| {
            let base_digest = base.map(|(_, digest)| *digest);
            if let Some((_, known)) = latest.patches.iter().find(|(of, _)| *of == base_digest) {
                return known.clone();
            }
            if latest.patches.len() == MAX_PATCHES {
                latest.patches.remove(0);
            }
            let patch = Patch::new(base, value, latest.digest);
            latest.patches.push((base_digest, patch.clone()));
            patch
        })
    }

    fn with_latest<T>(&self, value: &Bytes, action: impl FnOnce(&mut Latest) -> T) -> T {
        let mut latest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_latest = |l: &Latest| l.value.as_ptr() == value.as_ptr() && l.value.len() == value.len();
        if !latest.as_ref().is_some_and(is_latest) {
            *latest = None;
        }
        let new = || Latest { value: value.clone(), digest: Digest::of(value), patches: Vec::new() };
        action(latest.get_or_insert_with(new))
    }
}

/// Turns a received patch into rows, and makes its routing table the base of the next one.
///
/// # Errors
///
/// [`PatchError`] if `base` is not what the patch needs, or the patch is not what it says.
pub fn to_rows(patch: RoutingRowPatch, base: &mut Option<RoutingBase>) -> Result<StoreRows, PatchError> {
    let RoutingRowPatch { is_all, version, key, row_version, patch } = patch;
    let value = patch.apply(base.as_ref())?;
    *base = Some((value.clone(), patch.digest));
    let rows = vec![StoreRow { key, version: row_version, value: Some(value) }];
    Ok(StoreRows { of_targets: false, is_all, version, must_read: false, rows })
}
