//! Maps and sets that keep their insertion order and hash quickly.
//!
//! The state of a large deployment is looked up thousands of times for each planning round. The hash is seeded at
//! random for each process, so that callers who choose ids cannot make them collide.

/// A map in insertion order.
pub type IndexMap<K, V> = indexmap::IndexMap<K, V, foldhash::fast::RandomState>;

/// A set in insertion order.
pub type IndexSet<T> = indexmap::IndexSet<T, foldhash::fast::RandomState>;
