use {
    super::{Engine, engine::RunKey},
    work::{id, registry::Registry},
};

/// Runs of gangs.
impl Engine {
    /// Stops the other members of a gang's run.
    pub(super) fn stop_gang(&mut self, registry: &Registry, key: RunKey, reason: &'static str) {
        if !registry.step(&key.0).is_some_and(|step| step.gang) {
            return;
        }
        for member in self.gang_members(registry, key) {
            if member != key {
                self.stop(member, reason);
            }
        }
    }

    /// Tracked members of a gang's run, including the given one.
    pub(super) fn gang_members(&self, registry: &Registry, key: RunKey) -> Vec<RunKey> {
        let count = registry.step(&key.0).map_or(0, |step| step.count);
        let members = (0..count).map(|index| (id::Task { index, ..key.0 }, key.1));
        members
            .filter(|member| self.tracked_runs.contains_key(member))
            .collect()
    }
}
