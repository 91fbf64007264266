use {
    super::Losses,
    crate::{id, job::Definition},
    serde::{Deserialize, Serialize},
};

/// Progress of one occurrence of a job's steps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Progress of each step, in the order of the definition.
    pub steps: Vec<StepProgress>,
}

/// Progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Progress of each task, by index.
    pub tasks: Vec<TaskProgress>,
    /// Number of the latest run of the gang; 0 before the first, and for single tasks.
    pub gang_run: u32,
    /// Number of failed runs of the gang.
    pub gang_failures: u32,
    /// Number of the latest run of the gang that failed, so that a run with several failed members counts once.
    pub gang_failed_run: u32,
    /// Upstreams lost with runs of the gang; each run counts once.
    pub gang_losses: Losses,
    /// Number of the latest run of the gang that was lost with an upstream.
    pub gang_lost_run: u32,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Number of its latest run; 0 before the first.
    pub last_run: u32,
    /// Number of failed runs; not counted for members of a gang.
    pub failures: u32,
    /// Whether the task, or the gang that it belongs to, has finished.
    pub done: bool,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Runs that may still be running.
    pub live: Vec<Run>,
    /// Upstreams on which a run of it failed.
    pub failed_on: Vec<id::Upstream>,
    /// Upstreams that were lost with a run of it.
    pub losses: Losses,
}

/// A run that may still be running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Number within the task, starting at 1; all members of a gang share it.
    pub number: u32,
    /// Upstream that it is assigned to.
    pub upstream: id::Upstream,
    /// Incarnation of the upstream, identified by its start time in milliseconds.
    pub born_ms: u64,
    /// Time of the assignment by the registry's clock, in milliseconds since the Unix epoch.
    pub assigned_ms: u64,
}

impl Occurrence {
    /// An occurrence of which no task has started.
    pub fn new(definition: &Definition) -> Occurrence {
        let steps = definition.steps.iter().map(|step| StepProgress {
            tasks: vec![TaskProgress::default(); usize::from(step.count)],
            ..StepProgress::default()
        });
        Occurrence {
            steps: steps.collect(),
        }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Whether every step that a step depends on is done.
    pub fn is_ready(&self, definition: &Definition, step: usize) -> bool {
        definition.steps.get(step).is_some_and(|described| {
            described.after.iter().all(|earlier| {
                let earlier = self.steps.get(usize::from(*earlier));
                earlier.is_some_and(StepProgress::is_done)
            })
        })
    }
}

impl StepProgress {
    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// The checkpoint that every member of a gang resumes from: the latest one of any member.
    pub fn gang_checkpoint(&self) -> &str {
        self.tasks
            .first()
            .map_or("", |task| task.checkpoint.as_str())
    }

    /// Number of failed runs of the gang, or of the task that failed most often.
    pub fn failed_runs(&self) -> u32 {
        let tasks = self.tasks.iter().map(|task| task.failures);
        tasks.max().unwrap_or(0).max(self.gang_failures)
    }

    /// Whether any run of the step may still be running.
    pub fn is_live(&self) -> bool {
        self.tasks.iter().any(|task| !task.live.is_empty())
    }
}
