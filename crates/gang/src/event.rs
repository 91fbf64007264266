use model::{
    config::Config,
    job::Job,
    worker::{Task, Worker},
};

/// What the controller tells the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration was applied.
    Configured(Box<Config>),
    /// A worker announced itself; its tasks carry the usage reports.
    WorkerAnnounced {
        /// The worker as announced.
        worker: Box<Worker>,
        /// Every task that it holds.
        tasks: Vec<Task>,
    },
    /// A worker missed its announcements; it gets no new gang.
    WorkerSilent {
        /// Name of the worker.
        worker: String,
    },
    /// The leases on a worker ended; nothing runs there.
    WorkerLost {
        /// Name of the worker.
        worker: String,
    },
    /// An operator drains a worker; its tasks run to their end.
    WorkerDrained {
        /// Name of the worker.
        worker: String,
    },
    /// An operator returned a drained or quarantined worker to service.
    WorkerReturned {
        /// Name of the worker.
        worker: String,
    },
    /// Answer to [`Decision::Probe`](crate::Decision::Probe).
    WorkerProbed {
        /// Name of the worker.
        worker: String,
        /// Whether the worker ran the probe successfully.
        passed: bool,
    },
    /// A job was accepted, or is reported to a new leader in any state.
    JobAccepted(Box<Job>),
    /// A transition of a job was committed.
    JobChanged(Box<Job>),
    /// A cancellation was accepted; the transition that follows is reported separately.
    JobCancelled {
        /// The job.
        job: u64,
    },
    /// A task ended without success on a worker.
    TaskFailed {
        /// The job.
        job: u64,
        /// Name of the worker.
        worker: String,
    },
    /// The last proposal for a job was not committed and the job is as it was. A proposal that
    /// became void because the job changed first is not reported; the change is.
    ProposalRejected {
        /// The job.
        job: u64,
    },
    /// Time passed; the controller sends one at least each second.
    Tick {
        /// Milliseconds since the Unix epoch, by the clock that stamps the jobs.
        wall_ms: u64,
    },
}
