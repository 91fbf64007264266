use work::{id, job::Resources};

/// Running work that can be stopped: a single run, or all members of a gang.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The runs.
    pub runs: Vec<(id::Task, u32)>,
    /// The room of each, with the position of its upstream among the hosts.
    pub resources: Vec<(usize, Resources)>,
    /// Priority of its queue.
    pub priority: u8,
    /// Core-seconds that would be thrown away.
    pub lost_core_seconds: f64,
}

impl Victim {
    /// Accelerators that it holds on the given hosts.
    pub fn accelerators(&self, hosts: &[usize]) -> i64 {
        let resources = self
            .resources
            .iter()
            .filter(|(host, _)| hosts.contains(host));
        resources.map(|(_, resources)| resources.accelerators).sum()
    }
}
