use std::time::Duration;

/// Failed jobs kept per worker.
const KEPT: usize = 16;

/// One job that failed on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    /// The job.
    pub job: u64,
    /// How long it had run.
    pub after: Duration,
    /// Whether it has succeeded on another worker since.
    pub cleared: bool,
}

/// Jobs that failed on a worker since a job last succeeded there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failures(Vec<Failure>);

impl Failures {
    /// Adds a failure.
    pub fn add(&mut self, job: u64, after: Duration) {
        self.0.retain(|failure| failure.job != job);
        if self.0.len() == KEPT {
            self.0.remove(0);
        }
        self.0.push(Failure {
            job,
            after,
            cleared: false,
        });
    }

    /// Forgets everything, because a job succeeded here or the worker left service.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Notes that a job succeeded on another worker.
    pub fn clear_job(&mut self, job: u64) {
        for failure in self.0.iter_mut().filter(|failure| failure.job == job) {
            failure.cleared = true;
        }
    }

    /// The failures in order.
    pub fn iter(&self) -> impl Iterator<Item = &Failure> {
        self.0.iter()
    }
}
