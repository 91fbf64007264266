use {
    quorum::Member,
    serde::{Deserialize, Serialize},
    std::fmt,
    work::{config::Config, id, job::Definition, upstream::Upstream},
};

/// A call to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A caller's call about a job or a queue.
    Job {
        /// Who calls, and where.
        caller: Caller,
        /// What is asked.
        action: Action,
    },
    /// An operator's new configuration.
    Configure(Box<Config>),
    /// An operator reads the configuration.
    Configuration,
    /// An upstream's heartbeat.
    Heartbeat {
        /// What it says of itself.
        upstream: Box<Upstream>,
        /// Rises with each heartbeat of a life.
        sequence: u64,
        /// Its clock in milliseconds, if it told.
        clock_ms: Option<u64>,
    },
    /// An upstream leaves.
    Leave {
        /// Its id.
        upstream: id::Upstream,
        /// Its life; the present one if it did not tell.
        born_ms: Option<u64>,
    },
    /// A control instance makes itself known.
    Greeting {
        /// Its id and disk.
        member: Member,
        /// Its time of day in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// Lives of upstreams whose heartbeats it has acknowledged since its last greeting.
        heard: Vec<(id::Upstream, u64)>,
    },
    /// An entry instance asks whether the leader can be reached.
    Ping,
}

/// Who calls, and where.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Caller {
    /// Host that the call names.
    pub host: String,
    /// Path that the call names.
    pub path: String,
    /// Key that the call presents.
    pub key: Option<String>,
}

/// What a caller asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Action {
    /// Accept a job.
    Submit(Box<Definition>),
    /// Show a job, or the number of waiting jobs of a queue.
    Show,
    /// Cancel a job.
    Cancel,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Action::Submit(_) => "submit",
            Action::Show => "show",
            Action::Cancel => "cancel",
        })
    }
}
