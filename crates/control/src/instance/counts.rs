use {
    super::{Instance, Method, Query},
    futures::future,
    model::config::Config,
    std::sync::Arc,
    wire::Verdict,
};

impl Instance {
    /// The last applied configuration, even if it is not known to be current.
    pub fn applied(&self) -> Option<Arc<Config>> {
        self.follower.applied()
    }

    /// Asks every instance for its counts of service levels; `None` for one that did not answer.
    pub async fn counts(&self) -> Vec<(u64, Option<Vec<u8>>)> {
        let Ok(query) = serde_json::to_vec(&Query::Counts) else {
            return Vec::new();
        };
        let calls = self.setup.instances.keys().map(|id| {
            let query = &query;
            async move {
                if *id == self.setup.id {
                    return (*id, Some(self.setup.exchange.counts()));
                }
                let result = self.peers.query(*id, "", query).await;
                let answer = self.calls.made(Method::Query, result);
                let counts = match answer {
                    Ok(Verdict::Answer(bytes)) => Some(bytes),
                    _ => None,
                };
                (*id, counts)
            }
        });
        future::join_all(calls).await
    }
}
