//! Hash collections with the hasher that the whole project uses.
//!
//! Keys are short and either chosen by operators or bounded in number, so a fast hash without protection
//! against collision attacks is sufficient.

/// Hash map with the fast, unkeyed `FxHasher`.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the fast, unkeyed `FxHasher`.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
