use model::{
    config::Config,
    job::Job,
    worker::{Task, Worker},
};

/// An event that the controller reports to the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration was applied.
    Configured(Box<Config>),
    /// A worker announced itself and reported its tasks with their resource usage.
    WorkerAnnounced {
        /// Site, rack and capacity as announced.
        worker: Box<Worker>,
        /// All tasks on the worker.
        tasks: Vec<Task>,
    },
    /// Announcements of a worker are overdue; it gets no new gangs.
    WorkerSilent {
        /// Name of the worker.
        worker: String,
    },
    /// The leases on a worker have expired, so nothing runs there any more.
    WorkerLost {
        /// Name of the worker.
        worker: String,
    },
    /// An operator drains a worker; running tasks finish, new gangs go elsewhere.
    WorkerDrained {
        /// Name of the worker.
        worker: String,
    },
    /// An operator returned a drained or quarantined worker to service.
    WorkerReturned {
        /// Name of the worker.
        worker: String,
    },
    /// Names of the data centres that operators have evacuated; running tasks finish, new gangs go elsewhere.
    DataCentresEvacuated(Vec<String>),
    /// Result of [`Decision::Probe`](crate::Decision::Probe).
    WorkerProbed {
        /// Name of the worker.
        worker: String,
        /// Whether the worker may return to service.
        passed: bool,
    },
    /// A job was accepted. A new leader reports all jobs this way, in any state.
    JobAccepted(Box<Job>),
    /// A state transition of a job was committed.
    JobChanged(Box<Job>),
    /// Cancellation of a job was accepted; the state transition that follows is reported separately.
    JobCancelled {
        /// Id of the job.
        job: u64,
    },
    /// A task failed on a worker.
    TaskFailed {
        /// Id of the job.
        job: u64,
        /// Name of the worker.
        worker: String,
    },
    /// The last proposal for a job was not committed and the job is unchanged. Not reported if the job
    /// changed before the proposal was committed; that is a [`Event::JobChanged`].
    ProposalRejected {
        /// Id of the job.
        job: u64,
    },
    /// Time passed. The controller sends one at least every second.
    Tick {
        /// Milliseconds since the Unix epoch, from the clock that timestamps the jobs.
        wall_ms: u64,
    },
}
