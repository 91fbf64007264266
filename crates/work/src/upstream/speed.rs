use {
    crate::id,
    serde::{Deserialize, Serialize},
};

/// Speed of an incarnation of an upstream as a leader has learned it, in whole numbers as instances exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its incarnation, identified by its start time in milliseconds.
    pub born_ms: u64,
    /// Hundred times the natural logarithm of the speed, on the scale of the leader that has learned it.
    pub level: i16,
    /// Hundred times the standard error of that logarithm.
    pub error: u16,
}
