use {
    super::Resources,
    serde::{Deserialize, Serialize},
};

/// Tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Room of each task.
    pub need: Resources,
    /// The caller's estimate of one task's duration in milliseconds; often far off.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the upstream must have.
    pub label: Option<String>,
    /// Rack that holds the data; the tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one upstream, if limited.
    pub spread: Option<u16>,
    /// Whether two runs of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// Bound for the response times of a task that serves users, in milliseconds.
    pub target_ms: Option<u32>,
    /// Whether the tasks only use capacity that others leave idle; their processor time takes no room.
    pub filler: bool,
    /// Number of tasks that may be unavailable at the same time by decision of the scheduler.
    pub spare: u16,
}

impl Step {
    /// The room that one task takes from an upstream.
    pub fn reserved(&self) -> Resources {
        let mut room = self.need;
        if self.filler {
            room.cpu_milli = 0;
        }
        room
    }
}
