use {
    super::{Settings, open_starts::LATE_CALL_LIMIT},
    std::time::{Duration, Instant},
    work::{collections::IndexSet, id},
};

/// Silence, in heartbeat intervals, after which an upstream gets no new work. It allows for one lost heartbeat.
const MISSED_HEARTBEATS: f64 = 2.4;

/// Delay after the first failed hold, doubled with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Maximum delay after a failed hold. A lease of 6 s allows several retries.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Percentage by which the clock of an upstream may run slow, as stated by the platform.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Largest part of a lease, as a divisor, by which it may fall short because the upstream's clock was read long ago. The
/// rest leaves time for the next hold, which renews the lease.
const MAX_SHORTFALL_DIVISOR: u32 = 4;

/// Longest lease that is given, even to upstreams that accept a longer one. The tasks of an upstream that is lost start
/// elsewhere only after its lease, so a long one makes them late; a replaced leader renews leases after about 3 s.
const LEASE_LIMIT: Duration = Duration::from_secs(6);

/// Number of unreleased ends from which ends are released although a start is open. An upstream lists 500 at a time.
const MAX_HELD_ENDS: u64 = 400;

/// Allowance for network and processing time, added to a lease before its end is relied on.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// A hold without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHold {
    pub call: u64,
    pub sent: Instant,
    /// Number of the last end that the hold releases.
    pub last_end: u64,
    /// Whether it gives a lease.
    pub gives_lease: bool,
}

/// The leader's state of one incarnation of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub born_ms: u64,
    /// Whether it has announced that it leaves.
    pub draining: bool,
    /// Whether it has said that it leaves now.
    pub has_left: bool,
    /// Time of the last message from the upstream.
    pub last_heard: Instant,
    /// Clock of the upstream in milliseconds, and the time when it was received.
    clock: Option<(u64, Instant)>,
    /// Time until which it is slow after its start, by its own account.
    pub cold_until: Option<Instant>,
    /// Whether it has answered a hold of this leader. From then on it refuses the orders of earlier leaders.
    pub contacted: bool,
    pub pending_hold: Option<PendingHold>,
    pub next_hold: Instant,
    /// Whether anything has happened since it was last found to need no hold.
    pub may_need_hold: bool,
    /// Amount by which its fencing token is above the leader's.
    pub token_offset: u64,
    /// Time after which every lease given by this leader to this incarnation has expired.
    granted_until: Instant,
    /// Time after which every lease has expired that calls of earlier leaders or to earlier incarnations can give to the
    /// runs that are known to be there.
    earlier_until: Instant,
    /// Time after which no call that gives a lease and was sent before now is carried out.
    late_calls_until: Instant,
    /// Number of consecutive failed holds.
    pub failures: u32,
    /// Time of the latest failed hold.
    failed_at: Instant,
    /// Time of the first of the consecutive failed holds.
    lost_at: Instant,
    /// Number of the last end that the upstream was allowed to forget; 0 for none.
    pub released_end: u64,
    /// Number of the last end in a pending or committed proposal; 0 for none.
    pub proposed_end: u64,
    /// Time until which a start of a run that has ended there may be carried out; none if there is no such start.
    open_start_until: Option<Instant>,
    /// Whether it may have ends that it has not listed yet.
    pub has_more_ends: bool,
    /// Runs that it reports and the registry does not have.
    pub strays: IndexSet<(id::Task, u32)>,
}

impl Session {
    /// A session with an incarnation that has not answered yet. Earlier leaders may have given leases until `now`.
    ///
    /// Work is assigned to an incarnation only after it has answered its leader. From then on it refuses the calls to earlier
    /// incarnations, so only those of the leader that assigned the work can have prolonged its lease.
    pub fn new(born_ms: u64, now: Instant, settings: &Settings) -> Session {
        Session {
            born_ms,
            draining: false,
            has_left: false,
            last_heard: now,
            clock: None,
            cold_until: None,
            contacted: false,
            pending_hold: None,
            next_hold: now,
            may_need_hold: true,
            token_offset: 0,
            granted_until: now,
            earlier_until: now + expired_after(settings.max_lease),
            late_calls_until: now + LATE_CALL_LIMIT,
            failures: 0,
            failed_at: now,
            lost_at: now,
            released_end: 0,
            proposed_end: 0,
            open_start_until: None,
            has_more_ends: false,
            strays: IndexSet::default(),
        }
    }

    /// Duration of the leases that are given.
    pub fn lease(settings: &Settings) -> Duration {
        settings.max_lease.min(LEASE_LIMIT)
    }

    /// Records the clock of the upstream.
    pub fn set_clock(&mut self, clock_ms: u64, now: Instant) {
        self.clock = Some((clock_ms, now));
    }

    /// The least time that the upstream's clock can show now, in milliseconds.
    pub fn least_clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let elapsed = now.saturating_duration_since(at);
        let least = elapsed - elapsed * CLOCK_DRIFT_PERCENT / 100;
        Some(clock_ms.saturating_add(least.as_millis() as u64))
    }

    /// Whether the upstream's clock was read so long ago that a lease from it may be too short.
    pub fn is_clock_stale(&self, now: Instant, settings: &Settings) -> bool {
        let max_shortfall = Session::lease(settings) / MAX_SHORTFALL_DIVISOR;
        self.clock.is_some_and(|(_, at)| {
            now.saturating_duration_since(at) * CLOCK_DRIFT_PERCENT / 100 > max_shortfall
        })
    }

    /// Time of the first of the consecutive failed holds; none if the latest hold did not fail.
    pub fn lost_at(&self) -> Option<Instant> {
        (self.failures > 0).then_some(self.lost_at)
    }

    /// When the incarnation began: its clock starts with it. None if its clock is unknown.
    pub fn began_at(&self) -> Option<Instant> {
        let (clock_ms, at) = self.clock?;
        at.checked_sub(Duration::from_millis(clock_ms))
    }

    /// Gives a lease and returns its end by the upstream's clock in milliseconds; none if that clock is unknown. The lease
    /// is counted from the least time that the clock can show, so that it is never longer than the leader assumes.
    pub fn grant_lease(&mut self, now: Instant, settings: &Settings) -> Option<u64> {
        let least_clock_ms = self.least_clock_ms(now)?;
        let lease = Session::lease(settings);
        self.granted_until = self.granted_until.max(now + expired_after(lease));
        self.record_late_call(now);
        Some(least_clock_ms.saturating_add(lease.as_millis() as u64))
    }

    /// Time after which the runs that are known to be there have no lease any more.
    pub fn lease_end(&self) -> Instant {
        self.granted_until.max(self.earlier_until)
    }

    /// Time after which no call that gives a lease and was sent before now is carried out.
    pub fn late_calls_until(&self) -> Instant {
        self.late_calls_until
    }

    /// Records that a call that gives a lease may be under way now.
    pub fn record_late_call(&mut self, now: Instant) {
        self.late_calls_until = self.late_calls_until.max(now + LATE_CALL_LIMIT);
    }

    /// Records that it has answered a hold of this leader. From then on it refuses calls with a lower fencing token: those
    /// of earlier leaders and those to earlier incarnations.
    pub fn record_contact(&mut self, now: Instant, settings: &Settings) {
        if !self.contacted {
            self.contacted = true;
            let earlier_until = now + expired_after(settings.max_lease);
            self.earlier_until = self.earlier_until.min(earlier_until);
        }
    }

    /// The end that the next hold releases, given the last recorded one; 0 if there is nothing new to release.
    ///
    /// Each incarnation numbers its ends anew. If a hold reaches the next incarnation, a number of the earlier one
    /// could release an end that nobody has seen. A number is therefore sent only directly after this incarnation has
    /// reported it.
    ///
    /// An end that is released binds: the task may not be started any more. So ends are kept while a start of a run that is
    /// over may still reach the next incarnation.
    pub fn releasable_end(&self, recorded_end: u64, now: Instant) -> u64 {
        let count = recorded_end.saturating_sub(self.released_end);
        let is_open = self.open_start_until.is_some_and(|until| now <= until);
        let is_due = count > 0 && (!is_open || count >= MAX_HELD_ENDS);
        if self.contacted && self.failures == 0 && is_due {
            recorded_end
        } else {
            0
        }
    }

    /// Records that a start of a run that is over there may be carried out until the given time.
    pub fn record_open_start(&mut self, until: Instant) {
        self.open_start_until = self.open_start_until.max(Some(until));
    }

    /// Records an answered hold.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_heard = now;
        self.failures = 0;
        self.may_need_hold = true;
    }

    /// Records a failed hold and delays the next one, longer with each failure.
    pub fn record_failure(&mut self, now: Instant) {
        if self.failures == 0 {
            self.lost_at = now;
        }
        self.failures += 1;
        self.may_need_hold = true;
        self.failed_at = now;
        let pause = RETRY_DELAY_MIN * (1 << self.failures.min(4)) / 2;
        self.next_hold = now + pause.min(RETRY_DELAY_MAX);
    }

    /// Whether a hold may be sent now, should the upstream need one.
    pub fn is_hold_due(&self, now: Instant) -> bool {
        self.may_need_hold && self.pending_hold.is_none() && now >= self.next_hold
    }

    /// Whether a hold has to find out if the upstream can be reached: it has never answered, or it has sent a heartbeat
    /// since the latest failed hold.
    pub fn needs_contact(&self) -> bool {
        !self.contacted || (self.failures > 0 && self.last_heard > self.failed_at)
    }

    /// Whether it drains, or has said that it leaves now.
    pub fn is_leaving(&self) -> bool {
        self.draining || self.has_left
    }

    /// Whether it is slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether the upstream can take new work.
    pub fn is_usable(&self, now: Instant, settings: &Settings) -> bool {
        let quiet = now.saturating_duration_since(self.last_heard);
        self.contacted
            && !self.has_left
            && self.failures == 0
            && self.strays.is_empty()
            && self.clock.is_some()
            && quiet < settings.heartbeat_interval.mul_f64(MISSED_HEARTBEATS)
    }
}

/// Maximum time until a lease given now has expired, by the leader's clock.
pub(super) fn expired_after(lease: Duration) -> Duration {
    lease + lease * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN
}
