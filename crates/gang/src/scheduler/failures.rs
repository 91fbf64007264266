use std::time::Duration;

/// Failed jobs kept for each worker.
const MAX_FAILURES: usize = 16;

/// A job that failed on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    /// Id of the job.
    pub job: u64,
    /// How long it had run when it failed.
    pub after: Duration,
    /// Whether it has succeeded on another worker since, which puts the blame on this one.
    pub succeeded_elsewhere: bool,
}

/// Jobs that failed on a worker since the last success there, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failures(Vec<Failure>);

impl Failures {
    /// Adds a failure, replacing an earlier one of the same job; drops the oldest if full.
    pub fn add(&mut self, job: u64, after: Duration) {
        self.0.retain(|failure| failure.job != job);
        if self.0.len() == MAX_FAILURES {
            self.0.remove(0);
        }
        self.0.push(Failure {
            job,
            after,
            succeeded_elsewhere: false,
        });
    }

    /// Removes all failures, after a job succeeded here or the worker left service.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Marks a job as having succeeded on another worker.
    pub fn mark_succeeded_elsewhere(&mut self, job: u64) {
        for failure in self.0.iter_mut().filter(|failure| failure.job == job) {
            failure.succeeded_elsewhere = true;
        }
    }

    /// The failures, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Failure> {
        self.0.iter()
    }
}
