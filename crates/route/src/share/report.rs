use serde::{Deserialize, Serialize};

/// [`Report::applied`] of a process that applies no grant any more.
pub(super) const RETIRED: u64 = u64::MAX;

/// Report of a process to the granter of a region, sent every 500 ms, which asks for a [`super::Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the region that the upstreams are in.
    pub region: String,
    /// Id of the reporting instance.
    pub instance: u64,
    /// Differs for each start of the process.
    pub boot: u64,
    /// Sequence number of the reports of this process to this region.
    pub number: u64,
    /// Age of the process in milliseconds.
    pub age_ms: u64,
    /// Term of the last applied grant; 0 before the first.
    pub term: u64,
    /// Sequence number of the last applied grant; 0 before the first. The highest number from a process that applies no
    /// grant any more, whatever its term.
    pub applied: u64,
    /// Upstreams of which the process holds or wants slots.
    pub rows: Vec<Row>,
}

/// One upstream in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the upstream.
    pub upstream: String,
    /// Slots that the process uses or may still use.
    pub held: u16,
    /// Slots that the process wants, in hundredths.
    pub want: u32,
}
