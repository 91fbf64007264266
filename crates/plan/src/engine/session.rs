use {
    super::Settings,
    indexmap::IndexSet,
    std::time::{Duration, Instant},
    work::id,
};

/// Heartbeats that may be missing before an upstream gets no new work. One may be lost on the way.
const MISSED_HEARTBEATS: f64 = 2.4;

/// First pause after a failed call; doubled with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Longest pause after failed calls; a lease of 6 s allows several tries.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Percentage by which an upstream's clock may be slow; stated by the platform's page.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time for network and processing added to the end of a lease before it is relied on.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// A call on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHold {
    pub call: u64,
    pub sent: Instant,
    /// Ends up to this one were taken note of when the call was sent.
    pub last_end: u64,
}

/// What this leader knows of one life of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub born_ms: u64,
    /// Latest sign of life.
    pub last_heard: Instant,
    /// Its clock in milliseconds, and when that was received.
    clock: Option<(u64, Instant)>,
    /// Whether it has answered a hold of this leader; older leaders' orders are refused from then on.
    pub contacted: bool,
    pub pending_hold: Option<PendingHold>,
    pub next_hold: Instant,
    /// No lease given by this or an earlier leader lasts beyond this time.
    pub lease_end: Instant,
    /// Failed holds since the last answered one.
    pub failures: u32,
    /// Last end that the upstream was allowed to forget.
    pub released_end: u64,
    /// Last end that was proposed.
    pub proposed_end: u64,
    /// Runs that it lists and the book does not hold.
    pub strays: IndexSet<(id::Task, u32)>,
}

impl Session {
    /// A session with a life that has not been contacted. Earlier leaders may have given leases until `now`.
    pub fn new(born_ms: u64, now: Instant, settings: &Settings) -> Session {
        Session {
            born_ms,
            last_heard: now,
            clock: None,
            contacted: false,
            pending_hold: None,
            next_hold: now,
            lease_end: now + Session::longest_lease(settings),
            failures: 0,
            released_end: 0,
            proposed_end: 0,
            strays: IndexSet::new(),
        }
    }

    /// How long a lease given now may last, seen from here.
    fn longest_lease(settings: &Settings) -> Duration {
        settings.max_lease + settings.max_lease * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN
    }

    /// Takes note of the upstream's clock.
    pub fn set_clock(&mut self, clock_ms: u64, now: Instant) {
        self.clock = Some((clock_ms, now));
    }

    /// End of a full lease given now, by the upstream's clock; remembers that it was given.
    pub fn grant_lease(&mut self, now: Instant, settings: &Settings) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let elapsed = now.saturating_duration_since(at);
        self.lease_end = self.lease_end.max(now + Session::longest_lease(settings));
        Some(clock_ms + (elapsed + settings.max_lease).as_millis() as u64)
    }

    /// Up to which end the next hold lets the upstream forget, given the last end that was taken note of; 0 if
    /// there is nothing new to release.
    ///
    /// Numbers of ends begin again with each life. If the hold reaches a later life that has begun a run meanwhile,
    /// a number of the earlier life would let it forget an end that nobody has seen. So a number goes out only just
    /// after this life has listed it.
    pub fn releasable_end(&self, noted: u64) -> u64 {
        let is_new = noted > self.released_end;
        if self.contacted && self.failures == 0 && is_new {
            noted
        } else {
            0
        }
    }

    /// An answer arrived.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_heard = now;
        self.failures = 0;
    }

    /// A hold failed; the next one follows after a pause that grows.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        let pause = RETRY_DELAY_MIN * (1 << self.failures.min(4)) / 2;
        self.next_hold = now + pause.min(RETRY_DELAY_MAX);
    }

    /// Whether it may be given new work.
    pub fn is_usable(&self, now: Instant, settings: &Settings) -> bool {
        let quiet = now.saturating_duration_since(self.last_heard);
        self.contacted
            && self.failures == 0
            && self.strays.is_empty()
            && self.clock.is_some()
            && quiet < settings.heartbeat_interval.mul_f64(MISSED_HEARTBEATS)
    }
}
