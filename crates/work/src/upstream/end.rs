use {
    crate::id,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The end of a run, as reported by its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Increasing sequence number within one incarnation of the upstream; greater than 0.
    pub number: u64,
    /// Task that the run belonged to.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub how: Outcome,
    /// Last checkpoint of the run; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The task finished.
    Done,
    /// The run failed because of the task or the upstream.
    Failed,
    /// The leader ordered the stop.
    Stopped,
    /// The upstream killed the run because its lease expired.
    Lapsed,
    /// The run ended because another member of its gang did.
    Broken,
    /// The other members of the gang did not start within the gang timeout.
    Alone,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Done => "done",
            Outcome::Failed => "failed",
            Outcome::Stopped => "stopped",
            Outcome::Lapsed => "lapsed",
            Outcome::Broken => "broken",
            Outcome::Alone => "alone",
        })
    }
}
