use {
    super::Occurrence,
    crate::{
        collections::IndexMap,
        id,
        job::{Definition, Step},
    },
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id that the caller chose.
    pub id: id::Job,
    /// Account that owns it; none for a public queue.
    pub account: Option<String>,
    /// [Endpoint](crate::config::Queue::endpoint) of the queue that took it.
    pub queue: String,
    /// The job as its caller defined it.
    #[serde(with = "shared")]
    pub form: Arc<Definition>,
    /// Time of acceptance by the registry's clock, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time of its end by the registry's clock, in milliseconds since the Unix epoch; none while it is open.
    pub ended_ms: Option<u64>,
    /// Open, or how it ended.
    pub state: State,
    /// Whether a task of it is known to have started.
    pub begun: bool,
    /// Occurrences that have begun, by number.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// Numbers of the occurrences of which every task is done.
    pub finished: Vec<u32>,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Has not ended.
    Open,
    /// Every task is done.
    Completed,
    /// A task or gang has failed as often as its queue allows.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Open => "open",
            State::Completed => "completed",
            State::Failed => "failed",
            State::Cancelled => "cancelled",
        })
    }
}

impl Job {
    /// The step that a task belongs to; none if the job has no such step.
    pub fn step(&self, task: &id::Task) -> Option<&Step> {
        self.form.steps.get(usize::from(task.step))
    }

    /// Due time of an occurrence, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match &self.form.repeat {
            Some(repeat) => repeat.due_ms(occurrence),
            None => self.accepted_ms,
        }
    }

    /// Number of upstreams that were lost with runs of the task that lost most.
    pub fn lost_upstreams(&self) -> u32 {
        let steps = self.occurrences.values().flat_map(|o| &o.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.map(|task| task.losses.total()).max().unwrap_or(0)
    }

    /// Whether an occurrence exists and is not finished.
    pub fn is_pending(&self, occurrence: u32) -> bool {
        occurrence < self.form.occurrences() && !self.finished.contains(&occurrence)
    }
}

/// Serializes the definition itself, without the `Arc`.
mod shared {
    use {
        super::Definition,
        serde::{Deserialize, Deserializer, Serialize, Serializer},
        std::sync::Arc,
    };

    pub fn serialize<S: Serializer>(
        form: &Arc<Definition>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        form.as_ref().serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<Definition>, D::Error> {
        Definition::deserialize(deserializer).map(Arc::new)
    }
}
