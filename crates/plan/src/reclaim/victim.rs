use work::{id, job::Resources};

/// Running work that can be preempted: a single run, or all members of a gang.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Tasks and numbers of the runs.
    pub runs: Vec<(id::Task, u32)>,
    /// Resources of each run, with the position of its upstream among the hosts.
    pub resources: Vec<(usize, Resources)>,
    /// Priority of its queue; 0 is the highest.
    pub priority: u8,
    /// Core-seconds of work that preemption would lose.
    pub lost_core_seconds: f64,
}
