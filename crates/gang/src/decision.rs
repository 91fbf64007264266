use {
    crate::Shortfall,
    model::job::Member,
    std::{fmt, time::Duration},
};

/// A proposal of the scheduler, which takes effect once the controller has committed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Assign accelerators to all tasks of a queued job.
    Place {
        /// Id of the job.
        job: u64,
        /// Worker and accelerators of every task.
        members: Vec<Member>,
        /// Whether the job counts against none of the guarantees of its account.
        borrowed: bool,
    },
    /// Checkpoint and stop all tasks and requeue the job; a job that is placed but not started yet
    /// only releases its accelerators. Jobs that are not repeatable are reclaimed only when their
    /// account may no longer use the site.
    Reclaim {
        /// Id of the job.
        job: u64,
        /// Why it is reclaimed.
        reason: Reason,
    },
    /// End a queued job as failed.
    Fail {
        /// Id of the job.
        job: u64,
        /// Why it cannot run.
        reason: Reason,
    },
    /// Place no new gangs on a worker, because jobs that fail there run elsewhere.
    Quarantine {
        /// Name of the worker.
        worker: String,
    },
    /// Probe a quarantined worker and report [`Event::WorkerProbed`](crate::Event::WorkerProbed).
    Probe {
        /// Name of the worker.
        worker: String,
    },
    /// The set of guarantees that cannot be met has changed.
    ShortfallsChanged {
        /// All present shortfalls; empty when every guarantee can be met again.
        shortfalls: Vec<Shortfall>,
    },
    /// A job runs far longer than earlier jobs of its account and class. Nothing needs to be done.
    Straggler {
        /// Id of the job.
        job: u64,
        /// Time since it started running.
        elapsed: Duration,
        /// 95th percentile of the recent run times of its account and class.
        p95: Duration,
    },
}

/// Why a job is reclaimed or cannot run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its accelerators are needed for a gang under a guarantee.
    Claim {
        /// Id of the job that claims the guarantee.
        job: u64,
    },
    /// The job is a sweep and its accelerators are needed for a job of higher rank.
    Priority {
        /// Id of the job of higher rank.
        job: u64,
    },
    /// The job was backfilled onto accelerators reserved for a gang that can start now.
    Reservation {
        /// Id of the job that holds the reservation.
        job: u64,
    },
    /// Moving the job makes room for a queued gang.
    Compaction {
        /// Id of the queued job.
        job: u64,
    },
    /// The account is no longer permitted to use the site.
    PlaceWithdrawn {
        /// `region/data-centre`.
        site: String,
    },
    /// The client account is not in the configuration.
    AccountNotConfigured {
        /// Name of the account.
        account: String,
    },
    /// The account may use none of the places where the job could run.
    NoPermittedPlace {
        /// Name of the account.
        account: String,
    },
    /// The job has no attempts left.
    AttemptsExhausted {
        /// Attempts that may have started so far.
        starts: u32,
        /// Maximum number of attempts; 1 for a job that is not repeatable.
        max_attempts: u32,
    },
    /// The job failed on several workers, none of them in quarantine.
    FailedOnWorkers {
        /// Names of the workers.
        workers: Vec<String>,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Claim { job } => write!(f, "reclaimed for the guaranteed gang of job {job}"),
            Reason::Priority { job } => {
                write!(f, "reclaimed for job {job}, which has a higher priority")
            }
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
            Reason::AttemptsExhausted {
                starts,
                max_attempts,
            } => write!(
                f,
                "{starts} of {max_attempts} attempts started and none succeeded; submit again to retry"
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
