use {
    super::Occurrence,
    crate::{
        id,
        job::{Definition, Step},
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: id::Job,
    /// Account that it belongs to; none in a public queue.
    pub account: Option<String>,
    /// Name of its queue.
    pub queue: String,
    /// What was asked for.
    #[serde(with = "shared")]
    pub form: Arc<Definition>,
    /// When it was accepted, by the agreed time of day.
    pub accepted_ms: u64,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// How far it is.
    pub state: State,
    /// Whether a task of it was ever started.
    pub begun: bool,
    /// Occurrences that have begun and not finished.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// Numbers of the occurrences that are finished.
    pub finished: Vec<u32>,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Not ended.
    Open,
    /// Every task is done.
    Completed,
    /// A task or gang failed as often as its queue allows.
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
    /// The step that a task belongs to.
    pub fn step(&self, task: &id::Task) -> Option<&Step> {
        self.form.steps.get(usize::from(task.step))
    }

    /// When an occurrence is due by the agreed time of day.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match &self.form.repeat {
            Some(repeat) => repeat.due_ms(occurrence),
            None => self.accepted_ms,
        }
    }

    /// The occurrence, if it is neither finished nor beyond the last.
    pub fn is_pending(&self, occurrence: u32) -> bool {
        occurrence < self.form.occurrences() && !self.finished.contains(&occurrence)
    }
}

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
