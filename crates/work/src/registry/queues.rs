use {
    super::Registry,
    crate::{
        collections::IndexMap,
        config::{Config, Queue},
    },
};

/// Queues. Callers address them by host and prefix; their names are those of the latest configuration, or the last ones that
/// they had.
impl Registry {
    /// Applies a configuration if its version is higher than the current one.
    pub(super) fn configure(&mut self, config: Config) {
        if self
            .config
            .as_ref()
            .is_some_and(|current| current.version >= config.version)
        {
            return;
        }
        self.config = Some(config);
        self.follow_configuration();
    }

    /// Gives the queues the names and values of the configuration. Jobs stay in the queue that has the host and prefix
    /// under which they were submitted, whatever its name is.
    pub(super) fn follow_configuration(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let mut queues: IndexMap<String, Queue> = IndexMap::default();
        for queue in &config.queues {
            queues.insert(queue.name.clone(), queue.clone());
        }
        let mut renamed: IndexMap<String, String> = IndexMap::default();
        for (name, queue) in std::mem::take(&mut self.queues) {
            let is_same = |other: &&Queue| other.shares_endpoint_with(&queue);
            if let Some(configured) = config.queues.iter().find(is_same) {
                if configured.name != name {
                    renamed.insert(name, configured.name.clone());
                }
            } else if queues.contains_key(&name) {
                // The configuration has given the name to another queue.
                let endpoint = queue.endpoint();
                queues.insert(endpoint.clone(), queue);
                renamed.insert(name, endpoint);
            } else {
                queues.insert(name, queue);
            }
        }
        self.queues = queues;
        if !renamed.is_empty() {
            for job in self.jobs.values_mut() {
                if let Some(name) = renamed.get(&job.queue) {
                    job.queue.clone_from(name);
                }
            }
        }
        self.drop_unused_queues();
    }

    /// Removes queues that the configuration has dropped and that have no jobs any more.
    pub(super) fn drop_unused_queues(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let jobs = &self.jobs;
        self.queues.retain(|name, _| {
            config.queues.iter().any(|queue| queue.name == *name)
                || jobs.values().any(|job| job.queue == *name)
        });
    }
}
