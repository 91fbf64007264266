use {
    super::Resources,
    serde::{Deserialize, Serialize},
};

/// Tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks; at least 1.
    pub count: u16,
    /// Resources that each task requests.
    pub need: Resources,
    /// The caller's estimate of one task's duration in milliseconds; often inaccurate, and 0 if there is none.
    pub estimate_ms: u32,
    /// Positions of the earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints that a later run can resume from.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all of them run at the same time, or none.
    pub gang: bool,
    /// Whether the tasks run faster if all of them share a rack.
    pub same_rack: bool,
    /// Label that the upstream must have, if any.
    pub label: Option<String>,
    /// Rack that holds the input data, if any; the tasks are slower on other racks.
    pub data_rack: Option<String>,
    /// Limit of the step's tasks on one upstream, if any.
    pub spread: Option<u16>,
    /// Whether several runs of a task may be live at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run, if given; tasks of the same image behave alike.
    pub image: Option<String>,
    /// Response time objective in milliseconds, for tasks that serve users.
    pub target_ms: Option<u32>,
    /// Whether the tasks use only idle CPU time, so that no CPU is reserved for them.
    pub filler: bool,
    /// Number of tasks that the scheduler may make unavailable at the same time.
    pub spare: u16,
}

impl Step {
    /// Resources that one task reserves on its upstream.
    pub fn reserved(&self) -> Resources {
        let mut reserved = self.need;
        if self.filler {
            reserved.cpu_milli = 0;
        }
        reserved
    }
}
