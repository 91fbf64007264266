use serde::{Deserialize, Serialize};

/// What an instance tells a region's granter, each 500 ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The region whose upstreams are meant.
    pub region: String,
    /// The reporting instance.
    pub instance: u64,
    /// Differs for each start of the process.
    pub boot: u64,
    /// Counts the reports of this process to this region.
    pub number: u64,
    /// Time since the process started, in milliseconds.
    pub age_ms: u64,
    /// Term of the last applied grant; 0 before the first.
    pub term: u64,
    /// Sequence of the last applied grant.
    pub applied: u64,
    /// Upstreams that are held or wanted.
    pub rows: Vec<Row>,
}

/// One upstream in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The upstream.
    pub upstream: String,
    /// Slots that the instance uses or may still use.
    pub held: u16,
    /// Demand in hundredths of a slot.
    pub want: u32,
}
