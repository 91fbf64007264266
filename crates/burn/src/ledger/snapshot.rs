use {
    model::account::Measure,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// How often a reason was given for a bad event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Reason {
    /// The reason.
    pub text: String,
    /// Number of bad events, of the last 3 to 6 days.
    pub count: u64,
}

/// Counters of one objective of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    /// Client account.
    pub account: String,
    /// Job class or request class.
    pub class: String,
    /// The measured quantity.
    pub measure: Measure,
    /// Bound in milliseconds.
    pub within_ms: u64,
    /// How long this series has been counted.
    pub age_ms: u64,
    /// For each bucket width (1 min, 10 min, 2 h, 1 d): age in buckets, good and bad events of each
    /// bucket that is not empty.
    pub tiers: Vec<Vec<(u16, u32, u32)>>,
    /// Why events were bad.
    pub reasons: Vec<Reason>,
}

/// The counts of one instance at one moment, to be merged with those of others.
///
/// Buckets are placed by age on the monotonic clock of the instance, so its wall clock may be wrong
/// or be set while it counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Snapshot {
    /// Name of the instance.
    pub source: String,
    /// Wall time of the instance when it began to count, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Wall time of the instance at this snapshot, in milliseconds since the Unix epoch.
    pub taken_ms: u64,
    /// Monotonic time between both.
    pub uptime_ms: u64,
    /// Events that were not counted because the ledger was full.
    pub dropped: u64,
    /// The counters.
    pub series: Vec<Counts>,
}
