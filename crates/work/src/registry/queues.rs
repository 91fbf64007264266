use {
    super::Registry,
    crate::{
        collections::IndexMap,
        config::{Config, Queue},
    },
};

/// Queues. Callers address them by host and prefix, and so does the registry: names are labels, which several queues may
/// have and which another version may give to another queue.
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

    /// Takes over the queues of the configuration. A queue that it has dropped stays as it was last configured while it
    /// has jobs.
    pub(super) fn follow_configuration(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        for queue in &config.queues {
            self.queues.insert(queue.endpoint(), queue.clone());
        }
        self.drop_unused_queues();
    }

    /// Removes queues that the configuration has dropped and that have no jobs any more.
    pub(super) fn drop_unused_queues(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let jobs = &self.jobs;
        self.queues.retain(|endpoint, queue| {
            let is_same = |other: &Queue| other.shares_endpoint_with(queue);
            config.queues.iter().any(is_same) || jobs.values().any(|job| job.queue == *endpoint)
        });
    }

    /// Endpoint of the queue that a submission refers to. Earlier builds refer to it by name.
    pub(super) fn endpoint_of(&self, reference: String) -> String {
        // Endpoints have a slash. That of a queue which was dropped meanwhile may be the name of another queue.
        if self.queues.contains_key(&reference) || reference.contains('/') {
            return reference;
        }
        let mut configured = self.config.iter().flat_map(|config| &config.queues);
        // Those builds know only the last of several queues of one name.
        match configured.rfind(|queue| queue.name == reference) {
            Some(queue) => queue.endpoint(),
            None => reference,
        }
    }

    /// Identifies the queues of a snapshot by their endpoints. Earlier builds have stored them by name.
    pub(super) fn identify_queues_by_endpoint(&mut self) {
        let mut endpoints: IndexMap<String, String> = IndexMap::default();
        for (key, queue) in std::mem::take(&mut self.queues) {
            let endpoint = queue.endpoint();
            self.queues.insert(endpoint.clone(), queue);
            if key != endpoint {
                endpoints.insert(key, endpoint);
            }
        }
        for job in self.jobs.values_mut() {
            if let Some(endpoint) = endpoints.get(&job.queue) {
                job.queue.clone_from(endpoint);
            }
        }
    }
}
