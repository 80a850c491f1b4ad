//! Hash collections with the project's one hasher.
//!
//! Keys are short and chosen by operators, or bounded in number, so a fast unkeyed hash is enough.

/// Hash map with the fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
