use {
    crate::Shortfall,
    model::job::Member,
    std::{fmt, time::Duration},
};

/// A proposal of the scheduler; it takes effect only when the controller has committed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Give a queued job these accelerators.
    Place {
        /// The job.
        job: u64,
        /// Every task with its place.
        members: Vec<Member>,
        /// Whether the job runs beyond the guarantees of its account.
        borrowed: bool,
    },
    /// Write a checkpoint, stop all tasks and queue the job again. In `placed` the reservation is
    /// released instead. A job that is not repeatable is only stopped when its place was withdrawn.
    Reclaim {
        /// The job.
        job: u64,
        /// Why it must give way.
        reason: Reason,
    },
    /// End a queued job without success.
    Fail {
        /// The job.
        job: u64,
        /// Why it cannot run.
        reason: Reason,
    },
    /// Give a worker no new gang, because it fails jobs that run elsewhere.
    Quarantine {
        /// Name of the worker.
        worker: String,
    },
    /// Test a quarantined worker and report [`Event::WorkerProbed`](crate::Event::WorkerProbed).
    Probe {
        /// Name of the worker.
        worker: String,
    },
    /// The set of guarantees that cannot be proved has changed; empty when nothing is owed any more.
    ShortfallsChanged {
        /// Everything owed now.
        shortfalls: Vec<Shortfall>,
    },
    /// A job runs far longer than usual for its account. For information.
    Straggler {
        /// The job.
        job: u64,
        /// How long it has run.
        elapsed: Duration,
        /// 95th percentile of the account's earlier run times in this class.
        p95: Duration,
    },
}

/// Why a job must give way or cannot run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The place is needed for a guaranteed gang.
    Claim {
        /// The job that claims its guarantee.
        job: u64,
    },
    /// The place is needed for urgent or standard work that a sweep must let pass.
    Priority {
        /// The job that goes first.
        job: u64,
    },
    /// The job was backfilled onto a place reserved for a gang that can now start.
    Reservation {
        /// The job that holds the reservation.
        job: u64,
    },
    /// Moving the job frees a place for a larger gang.
    Compaction {
        /// The larger gang.
        job: u64,
    },
    /// The account may no longer use the site.
    PlaceWithdrawn {
        /// `region/data-centre`.
        site: String,
    },
    /// The client account is not part of the configuration.
    AccountNotConfigured {
        /// Name of the account.
        account: String,
    },
    /// The account has no permitted place among the known sites.
    NoPermittedPlace {
        /// Name of the account.
        account: String,
    },
    /// All attempts are used.
    AttemptsExhausted {
        /// Attempts that may have started.
        starts: u32,
        /// Largest number of attempts.
        bound: u32,
    },
    /// The job failed on several workers that run other jobs.
    FailedOnWorkers {
        /// Names of the workers.
        workers: Vec<String>,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Claim { job } => write!(f, "reclaimed for the guaranteed gang of job {job}"),
            Reason::Priority { job } => write!(f, "reclaimed for job {job}, which goes first"),
            Reason::Reservation { job } => {
                write!(f, "ran on a place reserved for job {job}, which starts now")
            }
            Reason::Compaction { job } => write!(f, "moved to make room for job {job}"),
            Reason::PlaceWithdrawn { site } => {
                write!(f, "the account may no longer use {site}")
            }
            Reason::AccountNotConfigured { account } => {
                write!(f, "client account `{account}` is not in the configuration")
            }
            Reason::NoPermittedPlace { account } => write!(
                f,
                "client account `{account}` may use none of the sites known here; submit where it may"
            ),
            Reason::AttemptsExhausted { starts, bound } => write!(
                f,
                "{starts} of {bound} attempts started and none succeeded; submit again to retry"
            ),
            Reason::FailedOnWorkers { workers } => write!(
                f,
                "failed on {} different workers ({}); check the job itself",
                workers.len(),
                workers.join(", ")
            ),
        }
    }
}
