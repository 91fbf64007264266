use {
    super::Engine,
    std::time::{Duration, Instant},
    work::id,
};

/// Longest time for which an upstream counts as cold without saying so again; it reports with each heartbeat.
const COLD_LIMIT: Duration = Duration::from_secs(60);

/// Slowness, in tenths, of an upstream that is cold, beside that of its data centre. It says only for how long it is slow,
/// not how slow, so urgent work goes there only if no warm upstream has room.
const COLD_SLOWNESS: u32 = 100;

/// Upstreams that are slow after their start.
///
/// Only the leader knows them, from their heartbeats; the next one hears it again within a heartbeat.
impl Engine {
    /// Records that an upstream is slow for some time.
    pub(super) fn on_cold(&mut self, upstream: &id::Upstream, born_ms: u64, remaining: Duration) {
        let now = self.now;
        let session = self.sessions.get_mut(upstream);
        let Some(session) = session.filter(|session| session.born_ms == born_ms) else {
            return;
        };
        if !session.is_cold(now) {
            log::info!(
                "event=upstream_cold upstream={upstream} remaining_ms={}",
                remaining.as_millis()
            );
        }
        session.cold_until = Some(now + remaining.min(COLD_LIMIT));
    }

    /// Whether an upstream is slow after its start, so that its pace tells nothing about later work.
    pub(super) fn is_cold(&self, upstream: &id::Upstream) -> bool {
        let session = self.sessions.get(upstream);
        session.is_some_and(|session| session.is_cold(self.now))
    }

    /// Time at which an upstream has become warm, or will; none if it has not been cold.
    pub(super) fn warm_from(&self, upstream: &id::Upstream) -> Option<Instant> {
        self.sessions.get(upstream)?.cold_until
    }

    /// Slowness of an upstream in tenths, beside that of its data centre.
    pub(super) fn cold_slowness(&self, upstream: &id::Upstream) -> u32 {
        match self.is_cold(upstream) {
            true => COLD_SLOWNESS,
            false => 0,
        }
    }
}
