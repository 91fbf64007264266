use work::{id, registry::Job};

/// Seconds of work after which a task that saves has saved again.
pub const CHECKPOINT_MS: u64 = 1000;

/// What a job's tasks really do, unknown to the scheduler.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Work of each task of each step in milliseconds, on a sound upstream near its data.
    pub work_ms: Vec<Vec<u64>>,
    /// Runs that fail halfway before one succeeds, for each step.
    pub failures: Vec<u32>,
    /// Whether every run fails.
    pub hopeless: bool,
    /// Whether the first task of each step crashes each upstream that starts it.
    pub deadly: bool,
}

impl Truth {
    /// Work of one run of a task. The members of a gang end together, with the longest.
    pub fn work_of(&self, job: &Job, task: &id::Task) -> u64 {
        let step = usize::from(task.step);
        let Some(tasks) = self.work_ms.get(step) else {
            return 0;
        };
        let gang = job.step(task).is_some_and(|step| step.gang);
        match gang {
            true => tasks.iter().copied().max().unwrap_or(0),
            false => tasks.get(usize::from(task.index)).copied().unwrap_or(0),
        }
    }

    /// Length of the longest chain of steps, failed halves included.
    pub fn chain_ms(&self, job: &Job) -> u64 {
        let steps = &job.form.steps;
        let mut ends = vec![0; steps.len()];
        for (number, step) in steps.iter().enumerate() {
            let longest = self
                .work_ms
                .get(number)
                .and_then(|tasks| tasks.iter().max());
            let longest = longest.copied().unwrap_or(0);
            let failed = u64::from(self.failures.get(number).copied().unwrap_or(0)) * longest / 2;
            let before = step
                .after
                .iter()
                .map(|after| ends[usize::from(*after)])
                .max();
            ends[number] = before.unwrap_or(0) + longest + failed;
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
