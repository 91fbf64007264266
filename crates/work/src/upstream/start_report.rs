use {
    crate::id,
    serde::{Deserialize, Serialize},
};

/// Starts of runs that upstreams may still carry out, as the leader tells the followers. Whichever leads next can then tell
/// them from those of which the outcome is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReport {
    /// Runs that were assigned before this time of the registry, in milliseconds, have no open start unless they are listed
    /// as open.
    pub covered_ms: u64,
    /// Runs that were assigned at that time or later and have no open start.
    pub settled: Vec<(id::Task, u32)>,
    /// Runs with open starts.
    pub open: Vec<OpenStart>,
}

/// A run with starts that its upstream may still carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStart {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Task of the run.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
    /// Time in milliseconds after which none is carried out; none if the leader may send further ones.
    pub left_ms: Option<u32>,
}
