use {
    crate::order::Unit,
    work::{id, job::Resources, upstream::Upstream},
};

/// An upstream that can take work, during one planning round.
#[derive(Clone, Debug)]
pub struct Host<'a> {
    /// Description of the upstream.
    pub upstream: &'a Upstream,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that are free or being freed, less what is reserved for waiting work.
    pub free_soon: Resources,
    /// Slowdown of its data centre compared with the fastest one, in tenths.
    pub slowness: u32,
    /// Speed that it has at least; a task takes its expected duration divided by the speed. 1 in a fleet of like speeds.
    pub speed: f64,
    /// Whether its latest run did not fail.
    pub reliable: bool,
    /// Steps whose tasks are limited per upstream, identified by their first task, with the number of tasks on this
    /// one.
    pub task_counts: Vec<(id::Task, u16)>,
    /// Accelerators in use by work that is not urgent.
    pub other_work: i64,
    /// Resources in use by single tasks that are not urgent and end by themselves.
    pub single_work: Resources,
    /// Whether it is set aside for urgent work.
    pub set_aside: bool,
    /// Whether room is collected on it for a waiting gang.
    pub collecting: bool,
    /// Whether it runs a task that may crash its upstream: it may have crashed one before, and has made no progress yet.
    pub has_suspect: bool,
}

/// Which resources count as available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// What is free now and not reserved for waiting work.
    Now,
    /// What is free or being freed, and not reserved for waiting work.
    Soon,
}

impl Host<'_> {
    /// Whether a unit may run here at all, regardless of free resources.
    pub fn accepts(&self, unit: &Unit<'_>) -> bool {
        let label = unit.step.label.as_ref();
        let has_label = label.is_none_or(|label| self.upstream.labels.contains(label));
        let is_safe = !unit.last_chance || self.reliable;
        let has_failed = unit.failed_on.contains(&self.upstream.id);
        let is_separate = match unit.isolated {
            true => self.is_empty(),
            false => !self.has_suspect,
        };
        self.upstream.service == unit.service && has_label && is_safe && !has_failed && is_separate
    }

    /// Whether nothing runs here or is about to.
    pub fn is_empty(&self) -> bool {
        self.free == self.upstream.capacity && self.free_soon == self.upstream.capacity
    }

    /// How many tasks of a unit fit, within the step's limit per upstream.
    pub fn slots(&self, unit: &Unit<'_>, availability: Availability) -> usize {
        let is_withheld = self.collecting && unit.may_be_withheld();
        if is_withheld || (self.set_aside && unit.leaves_headroom()) {
            return 0;
        }
        let fitting = match availability {
            Availability::Now => self
                .free
                .multiples_of(&unit.resources)
                .min(self.free_soon.multiples_of(&unit.resources)),
            Availability::Soon => self.free_soon.multiples_of(&unit.resources),
        };
        match unit.step.spread {
            Some(limit) => fitting.min(usize::from(limit.saturating_sub(self.task_count(unit)))),
            None => fitting,
        }
    }

    /// How many tasks of a unit fit once the single tasks here have ended.
    pub fn slots_without_single_work(&self, unit: &Unit<'_>) -> usize {
        let mut later = self.clone();
        later.free_soon += self.single_work;
        later.slots(unit, Availability::Soon)
    }

    fn task_count(&self, unit: &Unit<'_>) -> u16 {
        let step = id::Task {
            index: 0,
            ..unit.first_task
        };
        let here = self.task_counts.iter().find(|(name, _)| *name == step);
        here.map_or(0, |(_, count)| *count)
    }

    /// Reserves resources for one task.
    pub fn reserve(&mut self, unit: &Unit<'_>) {
        self.free -= unit.resources;
        self.free_soon -= unit.resources;
        if unit.step.spread.is_some() {
            self.count_task(unit.first_task);
        }
    }

    /// Counts a task of a step that is limited per upstream.
    pub fn count_task(&mut self, task: id::Task) {
        let step = id::Task { index: 0, ..task };
        match self.task_counts.iter_mut().find(|(name, _)| *name == step) {
            Some((_, count)) => *count += 1,
            None => self.task_counts.push((step, 1)),
        }
    }
}
