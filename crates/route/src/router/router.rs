use {
    super::{
        Action, Event, Head, Outcome, Reason, Refusal, Settings,
        flight::{Attempt, Flight, Phase},
        seat::Seat,
    },
    crate::{
        limit::{Forecast, Latency, Pace, Verdict, judge},
        member::Members,
        queue::{Key, Queues, Seats, Waiting},
        retry::{Budget, Progress, may_hedge, may_resend},
        share::Holder,
    },
    indexmap::IndexMap,
    model::{
        config::Config,
        place::permits,
        request::{Class, Ran},
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest time between two ticks while requests are known.
const TICK: Duration = Duration::from_millis(10);

/// Time after which the highest short demand seen is forgotten, if a lower one followed.
const PEAK_WINDOW: Duration = Duration::from_secs(10);

/// Fraction of a request's time that it waits before it may cross to another region while its own region
/// has upstreams. The link between regions is slow and paid by volume.
const SPILL: u32 = 4;

/// The request path of one instance.
#[derive(Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) members: Members,
    pub(super) holders: IndexMap<String, Holder>,
    pub(super) queues: Queues,
    pub(super) seats: IndexMap<String, Seat>,
    pub(super) demand: IndexMap<String, f64>,
    pub(super) draining: bool,
    config: Option<Arc<Config>>,
    flights: HashMap<u64, Flight>,
    attempts: HashMap<u64, Attempt>,
    deadlines: BTreeSet<(Instant, u64)>,
    latencies: IndexMap<(String, Class), Latency>,
    log_means: IndexMap<(String, Class), f64>,
    retries: Budget,
    hedges: Budget,
    next_attempt: u64,
    turn: usize,
    fresh_until: Option<Instant>,
    short_busy: u32,
    peaks: [u32; 2],
    peak_since: Option<Instant>,
}

impl Router {
    /// Returns a router without upstreams, shares or configuration.
    pub fn new(settings: Settings) -> Router {
        Router {
            members: Members::new(settings.instance, &settings.site.region),
            holders: IndexMap::new(),
            queues: Queues::new(settings.queues.clone()),
            seats: IndexMap::new(),
            demand: IndexMap::new(),
            draining: false,
            config: None,
            flights: HashMap::new(),
            attempts: HashMap::new(),
            deadlines: BTreeSet::new(),
            latencies: IndexMap::new(),
            log_means: IndexMap::new(),
            retries: settings.retry_budget(),
            hedges: settings.hedge_budget(),
            next_attempt: 0,
            turn: 0,
            fresh_until: None,
            short_busy: 0,
            peaks: [0; 2],
            peak_since: None,
            settings,
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, head: Head, now: Instant) -> Vec<Action> {
        self.refresh(now);
        let mut actions = Vec::new();
        let request = head.request;
        let refuse = |reason, retry_after| {
            let refusal = Refusal {
                reason,
                ran: Ran::No,
                retry_after,
            };
            vec![Action::Refuse { request, refusal }]
        };
        let Some(config) = self.config.clone() else {
            return refuse(Reason::Configuration, Some(Duration::from_secs(1)));
        };
        let Some(account) = config.accounts.get(&head.account) else {
            return refuse(Reason::Account, None);
        };
        let placed = self.seats.values().any(|seat| {
            seat.usable && seat.service == head.service && permits(account, &seat.site)
        });
        if !placed {
            return refuse(Reason::Place, Some(Duration::from_secs(1)));
        }
        let idempotent = head.idempotent;
        self.deadlines.insert((head.deadline, request));
        self.flights.insert(
            request,
            Flight {
                head,
                phase: Phase::Claiming,
                offered: now,
                tried: Vec::new(),
                attempts: Vec::new(),
                sent: false,
                answering: None,
                hedged: false,
            },
        );
        if idempotent {
            self.admit(request, now, &mut actions);
        } else {
            actions.push(Action::Claim { request });
        }
        actions
    }

    /// Takes an event.
    pub fn observe(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Configured(config) => {
                self.config = config;
                self.dispatch(now, &mut actions);
            }
            Event::Peers(peers) => self.members.set_peers(&peers),
            Event::Announced(announcement) => {
                self.members.announce(&announcement, now);
                self.changed(now, &mut actions);
            }
            Event::Departed(name) => {
                self.members.depart(&name, now);
                self.changed(now, &mut actions);
            }
            Event::Gossip(delta) => {
                self.members.receive(delta, now);
                self.changed(now, &mut actions);
            }
            Event::Granted(grant) => {
                let region = grant.region.clone();
                if self.holder(&region, now).apply(&grant, now) {
                    self.changed(now, &mut actions);
                }
            }
            Event::Claimed { request } => self.admit(request, now, &mut actions),
            Event::Sent { attempt } => {
                if let Some(flight) = self.flight_of(attempt) {
                    flight.sent = true;
                }
            }
            Event::Answering { attempt } => self.answering(attempt, &mut actions),
            Event::Finished { attempt, outcome } => {
                self.finished(attempt, outcome, now, &mut actions);
            }
            Event::Abandoned { request } => {
                self.forget(request, &mut actions);
                self.dispatch(now, &mut actions);
            }
            Event::Drain => self.draining = true,
        }
        actions
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        (!self.flights.is_empty()).then_some(now + TICK)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Requests that were offered and neither answered nor refused.
    pub fn pending(&self) -> usize {
        self.flights.len()
    }

    /// Slots that the instance may use now, and requests on them.
    pub fn slots(&self) -> (u32, u32) {
        self.seats.values().fold((0, 0), |(limit, busy), seat| {
            (limit + u32::from(seat.share), busy + u32::from(seat.busy))
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    fn changed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fresh_until = None;
        self.dispatch(now, actions);
    }

    /// Brings the seats up to date with membership, shares and paces.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.fresh_until.is_some_and(|until| now < until) {
            return;
        }
        for seat in self.seats.values_mut() {
            seat.usable = false;
        }
        for upstream in self.members.usable(now) {
            let share = self
                .holders
                .get(&upstream.site.region)
                .map_or(0, |holder| holder.limit(&upstream.name, now));
            let seat = self
                .seats
                .entry(upstream.name.clone())
                .or_insert_with(|| Seat {
                    service: upstream.service.clone(),
                    site: upstream.site.clone(),
                    address: upstream.address.clone(),
                    usable: true,
                    limit: 0,
                    share: 0,
                    busy: 0,
                    batch: 0,
                    pace: Pace::new(upstream.slots),
                });
            if seat.address != upstream.address || seat.service != upstream.service {
                seat.address = upstream.address.clone();
                seat.service = upstream.service.clone();
                seat.pace = Pace::new(upstream.slots);
            }
            seat.site = upstream.site.clone();
            seat.usable = true;
            seat.share = share;
            seat.limit = seat.pace.limit(share, now);
        }
        for (name, seat) in &mut self.seats {
            if !seat.usable {
                // The share still counts as held, for the report; it gets no new work.
                seat.share = self
                    .holders
                    .get(&seat.site.region)
                    .map_or(0, |holder| holder.limit(name, now));
                seat.limit = 0;
            }
        }
        self.seats
            .retain(|_, seat| seat.usable || seat.busy > 0 || seat.share > 0);
        self.fresh_until = Some(now + TICK);
    }

    fn latency(&mut self, service: &str, class: Class) -> &mut Latency {
        self.latencies
            .entry((service.to_owned(), class))
            .or_insert_with(|| {
                Latency::new(match class {
                    Class::Short => Duration::from_millis(20),
                    Class::Batch => Duration::from_secs(1),
                })
            })
    }

    /// Lets a request into its queue, or refuses it.
    fn admit(&mut self, request: u64, now: Instant, actions: &mut Vec<Action>) {
        self.refresh(now);
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let head = flight.head.clone();
        let budget = head.deadline.saturating_duration_since(now);
        let Some(config) = self.config.clone() else {
            return self.refuse(request, Reason::Configuration, None, actions);
        };
        let Some(account) = config.accounts.get(&head.account) else {
            return self.refuse(request, Reason::Account, None, actions);
        };
        let key = Key {
            account: head.account.clone(),
            class: head.class,
            service: head.service.clone(),
        };
        if budget.is_zero() {
            return self.refuse(request, Reason::Deadline, None, actions);
        }
        if self.settings.shed {
            let forecast = self.forecast(&key, head.deadline, account);
            if let Verdict::Refuse(after) = judge(forecast, budget) {
                return self.refuse(request, Reason::Overload, Some(after), actions);
            }
        }
        let waiting = Waiting {
            request,
            deadline: head.deadline,
        };
        if !self.queues.push(&key, account.weight, waiting) {
            let mean = self.latency(&head.service, head.class).mean();
            let slots = f64::from(self.slots().0);
            let after = self
                .queues
                .drain_time(head.class, &head.service, slots, mean)
                .max(Duration::from_millis(50));
            return self.refuse(request, Reason::Full, Some(after), actions);
        }
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.phase = Phase::Queued;
        }
        self.retries.earn();
        self.hedges.earn();
        self.dispatch(now, actions);
    }

    fn forecast(
        &mut self,
        key: &Key,
        deadline: Instant,
        account: &model::account::Account,
    ) -> Forecast {
        let quantile = self.settings.own_quantile;
        let latency = self.latency(&key.service, key.class);
        let (mean, own) = (latency.mean(), latency.quantile(quantile));
        let mut limit = 0.0;
        let mut batch = 0.0;
        let mut short = 0.0;
        for seat in self.seats.values() {
            if seat.usable && seat.service == key.service && permits(account, &seat.site) {
                limit += f64::from(seat.limit);
                batch += f64::from(seat.batch);
                short += f64::from(seat.busy - seat.batch);
            }
        }
        let reserve = 1.0 / f64::from(self.settings.queues.short_reserve);
        let slots = match key.class {
            Class::Short => (limit - batch).max(limit * reserve),
            Class::Batch => {
                (limit * (1.0 - reserve) - short).max(limit * self.settings.queues.batch_share)
            }
        };
        Forecast {
            ahead: self.queues.ahead(key, deadline),
            slots,
            mean,
            own,
        }
    }

    /// Binds waiting requests to free slots.
    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.refresh(now);
        self.note_peak(now);
        let Some(config) = self.config.clone() else {
            return;
        };
        while !self.queues.is_empty() {
            let mut seats = Seats {
                headroom: self.headroom(),
                ..Seats::default()
            };
            let mut any = false;
            for seat in self.seats.values() {
                seats.slots += u32::from(seat.limit);
                seats.batch += u32::from(seat.batch);
                any |= seat.free() > 0;
            }
            if !any {
                return;
            }
            self.turn = self.turn.wrapping_add(1);
            let (table, flights, turn) = (&self.seats, &self.flights, self.turn);
            let region = &self.settings.site.region;
            let taken = self.queues.take(seats, |key, waiting| {
                let account = config.accounts.get(&key.account)?;
                let flight = flights.get(&waiting.request)?;
                find(table, key, account, flight, region, turn, now)
            });
            let Some((_, waiting, place)) = taken else {
                return;
            };
            self.send(waiting.request, place, false, now, actions);
        }
    }

    fn send(
        &mut self,
        request: u64,
        place: usize,
        hedge: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let (service, class) = (flight.head.service.clone(), flight.head.class);
        let account = flight.head.account.clone();
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        flight.phase = Phase::Running;
        flight.attempts.push(attempt);
        flight.hedged |= hedge;
        let Some((name, seat)) = self.seats.get_index_mut(place) else {
            return;
        };
        seat.busy += 1;
        match class {
            Class::Batch => seat.batch += 1,
            Class::Short => self.short_busy += 1,
        }
        let upstream = name.clone();
        actions.push(Action::Send {
            request,
            attempt,
            upstream: upstream.clone(),
            address: seat.address.clone(),
            site: seat.site.clone(),
            cross_region: seat.site.region != self.settings.site.region,
            hedge,
        });
        let charged = self.latency(&service, class).mean().as_secs_f64();
        self.queues.charge(&account, class, charged);
        let started = now;
        self.attempts.insert(
            attempt,
            Attempt {
                request,
                account,
                class,
                service,
                upstream,
                started,
                charged,
                cancelled: false,
            },
        );
        self.note_peak(now);
    }

    fn flight_of(&mut self, attempt: u64) -> Option<&mut Flight> {
        let request = self.attempts.get(&attempt)?.request;
        self.flights.get_mut(&request)
    }

    fn answering(&mut self, attempt: u64, actions: &mut Vec<Action>) {
        let Some(flight) = self.flight_of(attempt) else {
            return;
        };
        flight.answering = Some(attempt);
        let request = flight.head.request;
        let others: Vec<u64> = flight
            .attempts
            .iter()
            .copied()
            .filter(|id| *id != attempt)
            .collect();
        self.cancel(request, &others, actions);
    }

    fn cancel(&mut self, request: u64, attempts: &[u64], actions: &mut Vec<Action>) {
        for attempt in attempts {
            if let Some(entry) = self.attempts.get_mut(attempt)
                && !entry.cancelled
            {
                entry.cancelled = true;
                actions.push(Action::Cancel {
                    request,
                    attempt: *attempt,
                });
            }
        }
    }

    fn finished(
        &mut self,
        attempt: u64,
        outcome: Outcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        let elapsed = now.duration_since(ended.started);
        self.vacate(&ended, elapsed, outcome, now);
        let request = ended.request;
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.attempts.retain(|id| *id != attempt);
            match outcome {
                Outcome::Answered => self.forget(request, actions),
                Outcome::Failed(progress) => self.failed(&ended, progress, now, actions),
                Outcome::Stopped if flight.attempts.is_empty() => self.forget(request, actions),
                Outcome::Stopped => {}
            }
        }
        self.dispatch(now, actions);
    }

    /// Frees the slot of an ended attempt and learns from it.
    fn vacate(&mut self, ended: &Attempt, elapsed: Duration, outcome: Outcome, now: Instant) {
        let key = (ended.service.clone(), ended.class);
        if outcome == Outcome::Answered {
            self.latency(&ended.service, ended.class).add(elapsed);
            let sample = elapsed.as_secs_f64().max(1e-6).ln();
            let mean = self.log_means.entry(key.clone()).or_insert(sample);
            *mean += 0.01 * (sample - *mean);
        }
        let usual = self.log_means.get(&key).copied().unwrap_or(0.0);
        if ended.class == Class::Short {
            self.short_busy -= 1;
        }
        if let Some(seat) = self.seats.get_mut(&ended.upstream) {
            seat.busy -= 1;
            if ended.class == Class::Batch {
                seat.batch -= 1;
            }
            match outcome {
                // Batch times vary too much between requests to judge an upstream by them.
                Outcome::Answered if ended.class == Class::Short => {
                    seat.pace.answered(elapsed, usual, seat.share.max(1));
                }
                Outcome::Failed(_) if !ended.cancelled => seat.pace.failed(now),
                _ => {}
            }
            seat.limit = seat.pace.limit(seat.share, now);
        }
        let difference = elapsed.as_secs_f64() - ended.charged;
        self.queues.charge(&ended.account, ended.class, difference);
    }

    fn failed(
        &mut self,
        ended: &Attempt,
        progress: Progress,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let request = ended.request;
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.sent |= progress >= Progress::Sent;
        if progress == Progress::Answering {
            // The caller's connection is broken by whoever passed the answer on.
            return self.forget(request, actions);
        }
        if !flight.attempts.is_empty() {
            return;
        }
        let furthest = if flight.sent {
            progress.max(Progress::Sent)
        } else {
            progress
        };
        let head = &flight.head;
        let resend = may_resend(
            furthest,
            head.idempotent && head.replayable,
            head.deadline,
            now,
        );
        if resend && self.retries.spend() {
            flight.tried.push(ended.upstream.clone());
            flight.phase = Phase::Queued;
            flight.hedged = false;
            let key = Key {
                account: head.account.clone(),
                class: head.class,
                service: head.service.clone(),
            };
            let waiting = Waiting {
                request,
                deadline: head.deadline,
            };
            let weight = self
                .config
                .as_ref()
                .and_then(|config| config.accounts.get(&key.account))
                .map_or(1, |account| account.weight);
            if self.queues.push(&key, weight, waiting) {
                return;
            }
        }
        self.refuse(request, Reason::Upstream, None, actions);
    }

    fn refuse(
        &mut self,
        request: u64,
        reason: Reason,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let sent = self.flights.get(&request).is_some_and(|flight| flight.sent);
        let ran = if sent { Ran::Unknown } else { Ran::No };
        self.forget(request, actions);
        let refusal = Refusal {
            reason,
            ran,
            retry_after,
        };
        actions.push(Action::Refuse { request, refusal });
    }

    fn forget(&mut self, request: u64, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let head = &flight.head;
        self.deadlines.remove(&(head.deadline, request));
        if flight.phase == Phase::Queued {
            let key = Key {
                account: head.account.clone(),
                class: head.class,
                service: head.service.clone(),
            };
            let waiting = Waiting {
                request,
                deadline: head.deadline,
            };
            self.queues.remove(&key, waiting);
        }
        self.cancel(request, &flight.attempts, actions);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fresh_until = None;
        self.refresh(now);
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let answering = self
                .flights
                .get(&request)
                .is_some_and(|flight| flight.answering.is_some());
            self.blame(request, now);
            if answering {
                self.forget(request, actions);
            } else {
                self.refuse(request, Reason::Deadline, None, actions);
            }
        }
        self.drop_hopeless(now, actions);
        self.hedge(now, actions);
        self.dispatch(now, actions);
    }

    /// Counts a missed deadline of a short request against the upstreams that did not answer it. Three in
    /// a row without any answer pause the upstream.
    fn blame(&mut self, request: u64, now: Instant) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if flight.head.class != Class::Short || flight.answering.is_some() {
            return;
        }
        for attempt in &flight.attempts {
            if let Some(seat) = self
                .attempts
                .get(attempt)
                .and_then(|attempt| self.seats.get_mut(&attempt.upstream))
            {
                seat.pace.failed(now);
            }
        }
    }

    /// Refuses waiting requests that cannot be answered in time any more.
    fn drop_hopeless(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.settings.shed || self.queues.is_empty() {
            return;
        }
        let quantile = self.settings.late_quantile;
        let latencies = &self.latencies;
        let late = self.queues.overdue(|key| {
            let own = latencies
                .get(&(key.service.clone(), key.class))
                .map_or(Duration::ZERO, |latency| latency.quantile(quantile));
            now + own
        });
        for (_, waiting) in late {
            self.refuse(waiting.request, Reason::Deadline, None, actions);
        }
    }

    /// Sends idempotent stragglers to a second upstream while nothing waits.
    fn hedge(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.queues.is_empty() || self.settings.hedges <= 0.0 {
            return;
        }
        let Some(config) = self.config.clone() else {
            return;
        };
        let mut stragglers: Vec<u64> = self
            .flights
            .values()
            .filter(|flight| {
                flight.phase == Phase::Running
                    && !flight.hedged
                    && flight.answering.is_none()
                    && flight.head.class == Class::Short
                    && flight.head.idempotent
                    && flight.head.replayable
            })
            .map(|flight| flight.head.request)
            .collect();
        stragglers.sort_unstable();
        for request in stragglers {
            let Some(flight) = self.flights.get(&request) else {
                continue;
            };
            let Some(first) = flight.attempts.first().and_then(|id| self.attempts.get(id)) else {
                continue;
            };
            let elapsed = now.duration_since(first.started);
            let key = Key {
                account: flight.head.account.clone(),
                class: flight.head.class,
                service: flight.head.service.clone(),
            };
            let usual = self
                .latencies
                .get(&(key.service.clone(), key.class))
                .filter(|latency| latency.count() >= 20.0)
                .map(|latency| latency.quantile(self.settings.hedge_quantile));
            let deadline = flight.head.deadline;
            let Some(usual) = usual else { continue };
            if !may_hedge(flight.head.idempotent, elapsed, usual, deadline, now) {
                continue;
            }
            let Some(account) = config.accounts.get(&key.account) else {
                continue;
            };
            let region = &self.settings.site.region;
            let current = first.upstream.clone();
            let place =
                find(&self.seats, &key, account, flight, region, self.turn, now).filter(|place| {
                    self.seats
                        .get_index(*place)
                        .is_some_and(|(name, _)| *name != current)
                });
            if let Some(place) = place
                && self.hedges.spend()
            {
                self.send(request, place, true, now, actions);
            }
        }
    }

    fn note_peak(&mut self, now: Instant) {
        let since = *self.peak_since.get_or_insert(now);
        if now.duration_since(since) >= PEAK_WINDOW {
            self.peaks = [0, self.peaks[0]];
            self.peak_since = Some(now);
        }
        self.peaks[0] = self.peaks[0].max(self.short_busy);
    }

    fn headroom(&self) -> u32 {
        if self.settings.adaptive_reserve {
            self.peaks[0].max(self.peaks[1])
        } else {
            0
        }
    }
}

/// Finds the best upstream with a free slot: in the own region, then the least loaded.
fn find(
    seats: &IndexMap<String, Seat>,
    key: &Key,
    account: &model::account::Account,
    flight: &Flight,
    region: &str,
    turn: usize,
    now: Instant,
) -> Option<usize> {
    let budget = flight
        .head
        .deadline
        .saturating_duration_since(flight.offered);
    let spill = now.duration_since(flight.offered) >= budget / SPILL;
    let mut best: Option<(bool, u32, usize)> = None;
    let mut local = false;
    for step in 0..seats.len() {
        let index = (turn + step) % seats.len();
        let (name, seat) = seats.get_index(index)?;
        if !seat.usable || seat.service != key.service || !permits(account, &seat.site) {
            continue;
        }
        let cross = seat.site.region != region;
        local |= !cross && seat.limit > 0;
        if seat.free() == 0 || flight.tried.contains(name) {
            continue;
        }
        let load = u32::from(seat.busy) * 1000 / u32::from(seat.limit.max(1));
        if best.is_none_or(|(other, least, _)| (cross, load) < (other, least)) {
            best = Some((cross, load, index));
        }
    }
    best.filter(|(cross, _, _)| !cross || spill || !local)
        .map(|(_, _, index)| index)
}
