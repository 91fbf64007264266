use {
    super::Rank,
    work::{
        id,
        job::{Resources, Step},
        registry::{StepProgress, TaskProgress},
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
    /// Expected duration of a task on an upstream of nominal speed near its data, in milliseconds.
    pub expected_ms: f64,
    /// Time that is left for its tasks if the job is to end within its objective, in milliseconds.
    pub left_ms: f64,
    /// Due time of its occurrence or acceptance of its job, whichever is later, in milliseconds since the Unix epoch.
    /// The time that earlier steps took is not considered.
    pub ready_since_ms: u64,
    /// Whether it has failed before and one more failure ends the job, so that it runs only on upstreams whose latest run
    /// did not fail.
    pub last_chance: bool,
    /// Whether it needs a decision of the policy service on which upstreams may run it.
    pub needs_advice: bool,
    /// Whether it loses little and makes urgent work wait only briefly when it is preempted.
    pub yields_quickly: bool,
    /// Whether its tasks may have crashed an upstream, so that no other work is placed beside them before they have made
    /// progress.
    pub suspect: bool,
    /// Whether it is placed only on upstreams that run nothing else.
    pub isolated: bool,
    /// Upstreams on which a task of the step failed, and on which it does not run.
    pub failed_on: Vec<id::Upstream>,
}

impl<'a> Unit<'a> {
    /// The id of the task with this index.
    pub fn task_id(&self, index: u16) -> id::Task {
        id::Task {
            index,
            ..self.first_task
        }
    }

    /// Splits off the tasks to which a condition applies; a gang is not divided, so one member is enough.
    pub fn split(
        self,
        progress: Option<&StepProgress>,
        applies: impl Fn(&TaskProgress) -> bool,
    ) -> (Option<Unit<'a>>, Option<Unit<'a>>) {
        let is_split_off = |index: &u16| {
            let task = progress.and_then(|progress| progress.tasks.get(usize::from(*index)));
            task.is_some_and(&applies)
        };
        let (split_off, others): (Vec<u16>, Vec<u16>) = match self.step.gang {
            true if self.tasks.iter().any(is_split_off) => (self.tasks.clone(), Vec::new()),
            true => (Vec::new(), self.tasks.clone()),
            false => self.tasks.iter().copied().partition(is_split_off),
        };
        let unit = |tasks: Vec<u16>| {
            (!tasks.is_empty()).then(|| Unit {
                tasks,
                ..self.clone()
            })
        };
        (unit(split_off), unit(others))
    }

    /// Whether accelerators may be withheld from it for other work. Lasting tasks serve users, so they do not wait for
    /// work that has not started.
    pub fn may_be_withheld(&self) -> bool {
        self.priority > 0 && self.resources.accelerators > 0 && !self.step.lasting
    }

    /// Whether it must leave accelerators free for urgent work.
    pub fn leaves_headroom(&self) -> bool {
        let may_share = self.yields_quickly && matches!(self.rank, Rank::OnTime(_));
        self.may_be_withheld() && !may_share && !self.isolated
    }

    /// Whether it avoids upstreams on which runs have failed.
    pub fn avoids_failures(&self) -> bool {
        self.last_chance || !self.failed_on.is_empty()
    }

    /// Lets it run on upstreams on which runs have failed.
    pub fn accept_failures(&mut self) {
        self.last_chance = false;
        self.failed_on.clear();
    }

    /// Whether each of its tasks must be the only one of the unit on its upstream.
    pub fn needs_own_upstream(&self) -> bool {
        self.isolated || self.suspect
    }

    /// Whether its speed depends on racks: its data is on one, or its members should share one.
    pub fn is_rack_sensitive(&self) -> bool {
        self.step.data_rack.is_some() || (self.step.gang && self.step.same_rack)
    }
}
