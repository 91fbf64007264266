use {
    crate::id,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The end of a run as its upstream lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Position in the list of this life of the upstream.
    pub number: u64,
    /// The task.
    pub task: id::Task,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub how: Outcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Finished.
    Done,
    /// Failed, by the task's fault or the upstream's.
    Failed,
    /// Stopped by order.
    Stopped,
    /// Killed because its lease ended.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not appear in time.
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
