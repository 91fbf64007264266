use {
    crate::{id, job::Definition},
    serde::{Deserialize, Serialize},
};

/// One occurrence of a job's steps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Each step, in the order of the form.
    pub steps: Vec<StepProgress>,
}

/// How far a step is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Each task.
    pub tasks: Vec<TaskProgress>,
    /// Number of the latest run of the gang.
    pub gang_run: u32,
    /// Failed runs of the gang.
    pub gang_failures: u32,
    /// The latest of them.
    pub gang_failed_run: u32,
}

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Number of its latest run.
    pub last_run: u32,
    /// Failed runs.
    pub failures: u32,
    /// Whether a run has ended as done.
    pub done: bool,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Runs that may be running.
    pub live: Vec<Run>,
    /// Upstreams on which runs failed.
    pub failed_on: Vec<id::Upstream>,
}

/// A run that may be running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Its number.
    pub number: u32,
    /// The upstream that it was sent to, or is about to be.
    pub upstream: id::Upstream,
    /// The life of the upstream.
    pub born_ms: u64,
    /// When it was assigned, by the agreed time of day.
    pub assigned_ms: u64,
}

impl Occurrence {
    /// An occurrence of which nothing has started.
    pub fn new(form: &Definition) -> Occurrence {
        let steps = form.steps.iter().map(|step| StepProgress {
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

    /// Whether the steps that a step waits for are done.
    pub fn is_ready(&self, form: &Definition, step: usize) -> bool {
        form.steps.get(step).is_some_and(|described| {
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

    /// The checkpoint that all members of a gang resume from: the latest of any member.
    pub fn gang_checkpoint(&self) -> &str {
        self.tasks
            .first()
            .map_or("", |task| task.checkpoint.as_str())
    }

    /// Failed runs of the gang, or of the task that failed most often.
    pub fn failed_runs(&self) -> u32 {
        let tasks = self.tasks.iter().map(|task| task.failures);
        tasks.max().unwrap_or(0).max(self.gang_failures)
    }

    /// Whether any run of the step may be running.
    pub fn is_live(&self) -> bool {
        self.tasks.iter().any(|task| !task.live.is_empty())
    }
}
