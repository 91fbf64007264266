use {
    plan::engine::Engine,
    std::time::{Duration, Instant},
    work::upstream::Speed,
};

/// Minimum interval between two copies of what the own engine has learned.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// Age from which speeds are not used: the leader has told none for ten times its interval, so the fleet may count as alike.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Speeds of upstreams that the latest leader has learned, this instance or another one. The engine of a new term begins
/// with them. They are empty while the fleet counts as alike.
#[derive(Debug, Default)]
pub(crate) struct SpeedMemory {
    speeds: Vec<Speed>,
    /// Time at which they were current here.
    at: Option<Instant>,
}

impl SpeedMemory {
    /// What is remembered.
    pub fn speeds(&self) -> &[Speed] {
        &self.speeds
    }

    /// Replaces what is remembered by what the leader has told.
    pub fn replace(&mut self, speeds: Vec<Speed>, now: Instant) {
        self.speeds = speeds;
        self.at = Some(now);
    }

    /// Copies what the engine of this instance has learned, at an interval.
    pub fn copy(&mut self, engine: &Engine, now: Instant) {
        if self.at.is_none_or(|at| now >= at + COPY_INTERVAL) {
            self.replace(engine.speeds().learned(now), now);
        }
    }

    /// Lets an engine whose term begins go on with what is remembered.
    pub fn hand_over(&self, engine: &mut Engine, now: Instant) {
        if let Some(at) = self.at
            && !self.speeds.is_empty()
            && now < at + MAX_AGE
        {
            log::info!("event=speeds_inherited upstreams={}", self.speeds.len());
            engine.inherit_speeds(&self.speeds, at);
        }
    }
}
