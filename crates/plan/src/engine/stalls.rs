use work::{collections::IndexMap, id};

/// Maximum number of doublings of the time after which a run counts as stalled.
const MAX_DOUBLINGS: u32 = 10;

/// Numbers of stalled runs, by task or by the first task of a gang.
///
/// A run without progress stands still on a faulty upstream, or its task takes far longer than its estimate. Each stalled
/// run of a task makes the second more likely, so the next one is given twice the time.
#[derive(Clone, Debug, Default)]
pub(super) struct Stalls {
    runs: IndexMap<id::Task, u32>,
}

impl Stalls {
    /// Records a stalled run.
    pub fn record(&mut self, task: id::Task) {
        *self.runs.entry(task).or_default() += 1;
    }

    /// Number of stalled runs of a task under this leader.
    pub fn count(&self, task: &id::Task) -> u32 {
        self.runs.get(task).copied().unwrap_or(0)
    }

    /// Discards the runs of jobs that have ended.
    pub fn discard_ended(&mut self, is_open: impl Fn(id::Job) -> bool) {
        self.runs.retain(|task, _| is_open(task.job));
    }
}

/// Factor by which the time without progress is longer for a task with so many stalled runs.
pub(super) fn patience(stalled_runs: u32) -> u32 {
    1 << stalled_runs.min(MAX_DOUBLINGS)
}
