use {
    model::{config::Config, job::Spec, job::State, worker::Worker},
    serde::{Deserialize, Serialize},
};

/// A linearizable read from the leader of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "query")]
pub enum Query {
    /// Accepted notes after a number; a list of `state::Record`.
    Notes {
        /// Only notes with a higher number.
        after: u64,
        /// Most notes returned.
        limit: usize,
    },
    /// The outcome of an earlier submission; an optional `note::Outcome`.
    Outcome {
        /// Key of the submission.
        key: String,
    },
    /// Who may still use an older configuration; a [`Force`].
    Force {
        /// The number.
        number: u64,
    },
    /// Numbers applied by live instances; a list of id and number.
    Followers,
    /// Whether a process holds a lease on the configuration; a boolean.
    Alive {
        /// Id of the instance.
        instance: u64,
        /// Incarnation of the process.
        incarnation: u64,
    },
    /// Names of drained instances.
    Drains,
    /// Jobs; a list of `job::Job`.
    Jobs {
        /// Only of this account.
        account: Option<String>,
        /// Only in this state.
        state: Option<State>,
        /// Most jobs returned, the latest ones.
        limit: usize,
    },
    /// One job; an optional `job::Job`.
    Job {
        /// Its id.
        id: u64,
    },
    /// Why a job waits; an optional line.
    Why {
        /// Its id.
        id: u64,
    },
    /// Whether a job was accepted under a key; a boolean.
    Known {
        /// Client account.
        account: String,
        /// The caller's key.
        key: String,
    },
    /// Whether the job could run on the known workers; an optional reason against it.
    CanRun {
        /// What was submitted.
        spec: Box<Spec>,
        /// Number of the configuration against which it was checked; the leader may have an older one.
        number: u64,
    },
    /// What would become of a job if it was submitted now; an optional `gang::Preview`.
    Preview {
        /// What would be submitted.
        spec: Box<Spec>,
        /// Number of the configuration against which it was checked; the leader may have an older one.
        number: u64,
    },
    /// Guarantees of these accounts that cannot be proved; a list of lines.
    Check {
        /// The configuration that would follow.
        config: Box<Config>,
        /// Accounts whose guarantees matter; a shortfall of others does not speak against a note.
        accounts: Vec<String>,
    },
    /// Workers; a list of [`WorkerView`].
    Workers,
    /// Evacuated data centres; a map of name and time of the order in milliseconds since the Unix epoch.
    Evacuations,
    /// Whether this instance holds something of the group; a boolean. Answered by any instance.
    Holds,
    /// Counts of service levels, from the instance that is asked; encoded by [`super::Exchange::counts`].
    Counts,
    /// Asks to become a member of the group; nothing.
    Join {
        /// Id of the instance.
        id: u64,
        /// Identity of its disk.
        incarnation: u64,
    },
}

/// Whether a number is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Force {
    /// The number asked for.
    pub number: u64,
    /// Whether every instance uses this number or a higher one, or none at all.
    pub in_force: bool,
    /// Ids of the instances that may use an older one.
    pub missing: Vec<u64>,
}

/// A worker as the region leader knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerView {
    /// As announced.
    pub worker: Worker,
    /// Time since the last announcement.
    pub silent_ms: u64,
    /// Whether an operator drains it.
    pub draining: bool,
    /// Whether it gets no new gang because it failed jobs that run elsewhere.
    pub quarantined: bool,
    /// Number of tasks that it holds.
    pub tasks: usize,
}
