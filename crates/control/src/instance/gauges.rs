use {
    super::{Calls, Instance},
    crate::group::Group,
    indexmap::IndexMap,
    model::job::State,
};

/// Conditions of workers; each worker is counted under one of them.
pub const CONDITIONS: [&str; 4] = ["in-service", "silent", "quarantined", "draining"];

/// What the leader of a region group knows of its jobs and workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Kept jobs by state.
    pub jobs: IndexMap<State, usize>,
    /// Workers by one of [`CONDITIONS`].
    pub workers: IndexMap<&'static str, usize>,
    /// Guarantees that cannot be proved.
    pub owed: usize,
}

impl Instance {
    /// Counts of a group's jobs and workers; `None` unless this replica leads the group.
    pub fn gauges(&self, group: &Group) -> Option<Gauges> {
        group.view().leading_since?;
        let controller = self.controllers.get(group.name())?;
        let mut gauges = Gauges {
            owed: controller.findings().owed(),
            ..Gauges::default()
        };
        for job in group.state().jobs().iter() {
            *gauges.jobs.entry(job.state).or_default() += 1;
        }
        let now = self.setup.clock.now();
        let drains = group.state().drains().clone();
        for seen in controller.workers() {
            let name = &seen.announcement.worker.name;
            let quiet = now.saturating_duration_since(seen.heard);
            let condition = if drains.concerns(&seen.announcement.worker) {
                "draining"
            } else if controller.findings().is_quarantined(name) {
                "quarantined"
            } else if quiet > self.setup.jobs.silent_after {
                "silent"
            } else {
                "in-service"
            };
            *gauges.workers.entry(condition).or_default() += 1;
        }
        Some(gauges)
    }

    /// Calls between this instance and the others.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }
}
