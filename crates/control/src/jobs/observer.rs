use model::job::Job;

/// Takes the committed transitions of jobs that count for service levels.
///
/// Only the instance whose proposal made the transition reports it, so no other instance reports it again.
/// A transition is not reported if its proposer died or lost its leadership before it learnt the outcome.
pub trait Observer: Send + Sync {
    /// All tasks of the job run for the first time; `job.changed_ms` is the time of it.
    fn started(&self, job: &Job);

    /// The job ended. `started` is false if it was not seen to run before.
    fn ended(&self, job: &Job, started: bool);
}

/// Observes nothing.
impl Observer for () {
    fn started(&self, _: &Job) {}

    fn ended(&self, _: &Job, _: bool) {}
}
