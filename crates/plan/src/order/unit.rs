use {
    super::Rank,
    work::{
        id,
        job::{Resources, Step},
    },
};

/// Tasks of one step that are ready to start and are scheduled together: a whole gang, or single tasks.
#[derive(Clone, Debug)]
pub struct Unit<'a> {
    /// First task of the step, which identifies the step.
    pub first_task: id::Task,
    /// The step that the tasks belong to.
    pub step: &'a Step,
    /// Indexes of the tasks that are ready.
    pub tasks: Vec<u16>,
    /// Resources that each task reserves.
    pub resources: Resources,
    /// Name of the service whose upstreams may run it.
    pub service: &'a str,
    /// Account of the job; none for a public queue.
    pub account: Option<&'a str>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// Rank, which decides its place in the order.
    pub rank: Rank,
    /// Latest start for an end within the objective, in milliseconds since the Unix epoch by the replicated clock.
    pub start_by_ms: f64,
    /// Due time of its occurrence or acceptance of its job, whichever is later, in milliseconds since the Unix epoch.
    /// The time that earlier steps took is not considered.
    pub ready_since_ms: u64,
    /// Whether it has failed before and one more failure ends the job.
    pub last_chance: bool,
    /// Whether it needs a decision of the policy service on which upstreams may run it.
    pub needs_advice: bool,
    /// Whether it is a gang that loses little and makes urgent work wait only briefly when it is preempted.
    pub yields_quickly: bool,
    /// Upstreams on which a task of the step failed.
    pub failed_on: Vec<id::Upstream>,
}

impl Unit<'_> {
    /// The id of the task with this index.
    pub fn task_id(&self, index: u16) -> id::Task {
        id::Task {
            index,
            ..self.first_task
        }
    }

    /// Whether accelerators may be withheld from it for other work. Lasting tasks serve users, so they do not wait for
    /// work that has not started.
    pub fn may_be_withheld(&self) -> bool {
        self.priority > 0 && self.resources.accelerators > 0 && !self.step.lasting
    }

    /// Whether it must leave accelerators free for urgent work.
    pub fn leaves_headroom(&self) -> bool {
        let may_share = self.yields_quickly && matches!(self.rank, Rank::OnTime(_));
        self.may_be_withheld() && !may_share
    }

    /// Whether its speed depends on racks: its data is on one, or its members should share one.
    pub fn is_rack_sensitive(&self) -> bool {
        self.step.data_rack.is_some() || (self.step.gang && self.step.same_rack)
    }
}
