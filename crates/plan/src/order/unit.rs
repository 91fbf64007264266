use {
    super::Rank,
    work::{
        id,
        job::{Resources, Step},
    },
};

/// Tasks of one step that are ready to start: a whole gang, or single tasks.
#[derive(Clone, Debug)]
pub struct Unit<'a> {
    /// The step, named by its first task.
    pub first_task: id::Task,
    /// Its description.
    pub step: &'a Step,
    /// Numbers of the tasks that are ready.
    pub tasks: Vec<u16>,
    /// Room of each.
    pub resources: Resources,
    /// Service whose upstreams may run it.
    pub service: &'a str,
    /// Account of the job.
    pub account: Option<&'a str>,
    /// Priority of the queue.
    pub priority: u8,
    /// Class.
    pub rank: Rank,
    /// Latest start for an end within the objective, by the agreed time of day in milliseconds.
    pub start_by_ms: f64,
    /// Since when it is ready to start, as far as the job tells.
    pub ready_since_ms: u64,
    /// Whether one more failure ends the job.
    pub last_chance: bool,
    /// Whether a policy service decides which upstreams may run it.
    pub needs_advice: bool,
    /// Upstreams on which a task of it failed.
    pub failed_on: Vec<id::Upstream>,
}

impl Unit<'_> {
    /// The name of one of its tasks.
    pub fn task_id(&self, index: u16) -> id::Task {
        id::Task {
            index,
            ..self.first_task
        }
    }

    /// Racks matter: its data is on one, or its members must share one.
    pub fn is_rack_sensitive(&self) -> bool {
        self.step.data_rack.is_some() || (self.step.gang && self.step.same_rack)
    }
}
