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
    pub how: How,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum How {
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

impl fmt::Display for How {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            How::Done => "done",
            How::Failed => "failed",
            How::Stopped => "stopped",
            How::Lapsed => "lapsed",
            How::Broken => "broken",
            How::Alone => "alone",
        })
    }
}
