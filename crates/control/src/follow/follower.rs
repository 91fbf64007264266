use {
    crate::fault::{self, Fault},
    model::config::Config,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

#[derive(Debug, Default)]
struct Held {
    config: Option<Arc<Config>>,
    lease_end: Option<Instant>,
}

/// The configuration that this instance has applied and its lease on it.
#[derive(Debug, Default)]
pub struct Follower {
    held: Mutex<Held>,
}

impl Follower {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration, if the lease on it is valid. Without it nothing may be admitted or started.
    pub fn current(&self, now: Instant) -> Option<Arc<Config>> {
        let held = self.held();
        held.lease_end
            .filter(|end| now < *end)
            .and_then(|_| held.config.clone())
    }

    /// The last applied configuration, whether or not the lease is valid.
    pub fn applied(&self) -> Option<Arc<Config>> {
        self.held().config.clone()
    }

    /// Number of the applied configuration; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.held()
            .config
            .as_ref()
            .map_or(0, |config| config.number)
    }

    /// Time until the lease ends.
    pub fn lease(&self, now: Instant) -> Duration {
        self.held()
            .lease_end
            .map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Applies an answer of the config leader. `sent` is the time at which the question was sent.
    ///
    /// A late answer never replaces a newer configuration by an older one, nor shortens the lease.
    pub fn update(&self, config: Option<Config>, sent: Instant, lease: Duration) {
        let mut held = self.held();
        if let Some(config) = config {
            let newer = held
                .config
                .as_ref()
                .is_none_or(|applied| applied.number < config.number)
                || fault::is(Fault::FollowerGoesBack);
            if newer {
                held.config = Some(Arc::new(config));
            }
        }
        if held.config.is_some() {
            let end = sent + lease;
            held.lease_end = Some(held.lease_end.map_or(end, |current| current.max(end)));
        }
    }
}
