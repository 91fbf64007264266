use {
    super::{Engine, obstacle::Obstacle, round::Round, round_lines::report_places},
    crate::{
        headroom::{self, Headroom},
        order::{self, Unit},
        place::{self, Attempts, Availability, Host, Locality},
    },
    work::{
        collections::{IndexMap, IndexSet},
        id,
        job::Resources,
        registry::{Placement, Registry, Update},
    },
};

/// Maximum number of tasks assigned in one round; bounds the size of a log entry and the burst of starts.
const MAX_ASSIGNED: usize = 128;

/// Share of idle accelerators or CPU above which a service counts as idle. Work may then run away from its data or its
/// gang: slow progress is better than none.
const IDLE_SHARE: f64 = 0.5;

/// Time for which work waits for a host near its data or its gang while the service is idle.
const NEAR_WAIT_MS: u64 = 1500;

/// Planning: assigns ready work.
impl Engine {
    /// Runs one planning round over all ready work, highest rank first.
    pub(super) fn plan(&mut self, registry: &Registry) {
        let mut round = self.begin_round(registry);
        if round.hosts.is_empty() {
            return;
        }
        self.prune_advice(registry);
        let placements = self.placements_under_way();
        let mut assigned: IndexSet<id::Task> = placements.map(|placement| placement.task).collect();
        assigned.extend(self.tasks_with_open_starts(registry));
        let mut units = order::ready_units(
            registry,
            &self.estimator,
            self.time_ms,
            &self.settings,
            &assigned,
        );
        self.limit_avoidance(&round, &mut units);
        round.is_reported = self.is_report_due();
        if round.is_reported {
            self.report_load(&round, &units);
            self.collect_load(&round, &units);
            self.report_fleet(&round);
        }
        self.subtract_reservations(&mut round, &units);
        let mut waiting = Vec::new();
        for unit in &units {
            let obstacle = if round.assigned >= MAX_ASSIGNED {
                if !round.is_reported {
                    break;
                }
                Some(Obstacle::RoundLimit)
            } else {
                match unit.step.gang {
                    true => self.plan_gang(&mut round, unit),
                    false => self.plan_tasks(&mut round, unit),
                }
            };
            waiting.extend(obstacle.map(|obstacle| (unit, obstacle)));
        }
        if round.is_reported {
            self.report_waiting(&waiting);
        }
        let services = waiting.iter().map(|(unit, _)| unit.service).collect();
        self.move_evacuated(&mut round, &services);
    }

    fn begin_round<'a>(&mut self, registry: &'a Registry) -> Round<'a> {
        self.speeds.refresh(registry, self.now);
        let mut hosts = Vec::new();
        let mut positions = IndexMap::default();
        let mut slowness: IndexMap<&str, u32> = IndexMap::default();
        for upstream in registry.upstreams() {
            let usable = self
                .sessions
                .get(&upstream.id)
                .is_some_and(|session| session.is_usable(self.now, &self.settings));
            if !usable || upstream.draining || registry.is_evacuated(&upstream.data_centre) {
                continue;
            }
            let health = self.health.get(&upstream.id);
            let data_centre = upstream.data_centre.as_str();
            let slowness = slowness
                .entry(data_centre)
                .or_insert_with(|| self.estimator.slowness(data_centre));
            hosts.push(Host {
                upstream,
                free: upstream.capacity,
                free_soon: upstream.capacity,
                slowness: *slowness + self.cold_slowness(&upstream.id),
                speed: match self.settings.uses_speeds {
                    true => self.speeds.cautious_speed(upstream),
                    false => 1.0,
                },
                reliable: health.is_none_or(|health| health.is_reliable()),
                task_counts: Vec::new(),
                other_work: 0,
                single_work: Resources::default(),
                set_aside: false,
                collecting: false,
                has_suspect: false,
            });
        }
        self.remove_paused(&mut hosts);
        for (position, host) in hosts.iter().enumerate() {
            positions.insert(&host.upstream.id, position);
        }
        let mut round = Round {
            registry,
            hosts,
            positions,
            idle: IndexMap::default(),
            assigned: 0,
            victim_searches: 0,
            guaranteed: order::guaranteed_accounts(registry),
            urgent_usage: IndexMap::default(),
            supply: IndexMap::default(),
            reservations: IndexMap::default(),
            is_reported: false,
            attempts: Attempts::default(),
            victims: IndexMap::default(),
        };
        self.effort.rounds += 1;
        self.effort.planned += round.hosts.len() as u64;
        self.refresh_usages(registry);
        self.subtract_usages(&mut round);
        round.idle = idle_services(&round.hosts);
        if self.settings.keeps_headroom {
            self.reserve_headroom(&mut round);
        } else {
            round.count_supply();
        }
        round
    }

    /// Computes the accelerators that must stay free for urgent work.
    fn reserve_headroom(&mut self, round: &mut Round<'_>) {
        let now = self.now;
        round.count_supply();
        for (service, supply) in &mut round.supply {
            let used = round.urgent_usage.get(service).copied().unwrap_or_default();
            let entry = self.headroom.entry((*service).to_owned());
            let headroom = entry.or_insert_with(|| Headroom::new(now));
            headroom.observe(used, now);
            let accelerators = headroom.accelerators();
            headroom::set_aside(&mut round.hosts, service, supply, accelerators);
        }
    }

    /// Assigns a gang, or preempts other work for it. Returns what keeps it waiting, if it is not assigned.
    fn plan_gang<'a>(&mut self, round: &mut Round<'a>, unit: &Unit<'a>) -> Option<Obstacle> {
        if round.allowance(unit) < unit.tasks.len() {
            return Some(Obstacle::Headroom);
        }
        let allowed = self.allowed(round.registry, unit, &round.hosts);
        let allowed = &allowed;
        let locality = self.locality(round, unit, allowed);
        let in_time = self.in_time_after_stop(round, unit, allowed);
        if let Some(reserved) = round.reservations.swap_remove(&unit.first_task) {
            // A gang that waits for places in time takes no others.
            let in_time = in_time.filter(|in_time| reserved.iter().all(|place| in_time[*place]));
            let allowed = in_time.as_ref().unwrap_or(allowed);
            return match self.find_reserved(round, unit, reserved, allowed, locality) {
                Some(places) => {
                    self.assign(round, unit, &unit.tasks, &places);
                    None
                }
                None => Some(Obstacle::Freeing),
            };
        }
        let places = self.find_gang(round, unit, allowed, Availability::Now, locality);
        if let Some(in_time) = in_time {
            let is_late = places
                .as_ref()
                .is_none_or(|places| self.is_certainly_late(round, unit, places));
            if is_late && self.claim_in_time(round, unit, &in_time, locality) {
                return Some(Obstacle::Freeing);
            }
        }
        if let Some(places) = places {
            self.assign(round, unit, &unit.tasks, &places);
            return None;
        }
        if unit.rank.preemption_budget(0.0).is_none() {
            if let Some(supply) = round.supply.get_mut(unit.service) {
                supply.reserve_for_gang(unit);
                headroom::collect(unit, &mut round.hosts, allowed, locality, supply);
            }
            return Some(round.gang_obstacle(unit, allowed, locality));
        }
        // Resources that are being freed are reserved, so that no work of lower rank takes them.
        if let Some(places) = self.find_gang(round, unit, allowed, Availability::Soon, locality) {
            round.reserve(unit, &places);
            return Some(Obstacle::Freeing);
        }
        self.preempt_for_gang(round, unit, allowed, locality)
    }

    /// Finds places for a gang, unless they are known not to exist.
    fn find_gang<'a>(
        &mut self,
        round: &mut Round<'a>,
        unit: &Unit<'a>,
        allowed: &[bool],
        availability: Availability,
        locality: Locality,
    ) -> Option<Vec<usize>> {
        let count = unit.tasks.len();
        if round
            .attempts
            .is_hopeless(unit, count, availability, locality)
        {
            return None;
        }
        self.effort.planned += round.hosts.len() as u64;
        let places = place::gang(unit, &round.hosts, allowed, availability, locality);
        if places.is_none() {
            let attempts = &mut round.attempts;
            attempts.record_failure(unit, count, availability, locality);
        }
        places
    }

    /// Assigns as many of the tasks as possible. Returns what keeps the others waiting.
    fn plan_tasks<'a>(&mut self, round: &mut Round<'a>, unit: &Unit<'a>) -> Option<Obstacle> {
        let allowance = round.allowance(unit);
        if allowance == 0 {
            return Some(Obstacle::Headroom);
        }
        let allowed = self.allowed(round.registry, unit, &round.hosts);
        let locality = self.locality(round, unit, &allowed);
        let availability = Availability::Now;
        if round.attempts.is_hopeless(unit, 1, availability, locality) {
            return Some(Obstacle::Room);
        }
        self.effort.planned += round.hosts.len() as u64;
        let count = unit
            .tasks
            .len()
            .min(allowance)
            .min(MAX_ASSIGNED - round.assigned);
        let places = place::fill(unit, &round.hosts, &allowed, locality, count);
        for (index, place) in unit.tasks.iter().zip(&places) {
            self.assign(round, unit, &[*index], &[*place]);
        }
        if places.len() < count {
            let attempts = &mut round.attempts;
            attempts.record_failure(unit, 1, availability, locality);
        }
        match places.len() {
            placed if placed == unit.tasks.len() => None,
            placed if placed < count => Some(Obstacle::Room),
            placed if placed == allowance => Some(Obstacle::Headroom),
            _ => Some(Obstacle::RoundLimit),
        }
    }

    /// Expected work of a unit in core-seconds.
    pub(super) fn expected_core_seconds(&self, round: &Round<'_>, unit: &Unit<'_>) -> f64 {
        let Some(job) = round.registry.job(unit.first_task.job) else {
            return 0.0;
        };
        let seconds = self.estimator.expected_ms(job, unit.step) / 1000.0;
        seconds * unit.resources.core_equivalents() * unit.tasks.len() as f64
    }

    /// Whether the unit must be placed near its data and its other members, or may be placed anywhere. A gang that goes
    /// on from a checkpoint is placed anywhere only if there is no room for it near: it counts as waiting since its first
    /// run.
    fn locality<'a>(
        &mut self,
        round: &mut Round<'a>,
        unit: &Unit<'a>,
        allowed: &[bool],
    ) -> Locality {
        if !unit.is_rack_sensitive() {
            return Locality::Far;
        }
        let hosts = &round.hosts;
        let attempts = &mut round.attempts;
        if !attempts.could_be_near(unit, || place::could_be_near(unit, hosts, allowed)) {
            return Locality::Far;
        }
        let waited_ms = self.time_ms.saturating_sub(unit.ready_since_ms);
        let idle = round.idle.get(unit.service).copied().unwrap_or(false);
        let must_start = self.must_start(unit);
        let may_be_far = must_start || (idle && waited_ms > NEAR_WAIT_MS);
        let progress = round.registry.progress(&unit.first_task);
        let mut tasks = progress.into_iter().flat_map(|progress| &progress.tasks);
        let is_resumed = tasks.any(|task| !task.checkpoint.is_empty());
        let is_near_free = |engine: &mut Engine, round: &mut Round<'a>| {
            let (now, near) = (Availability::Now, Locality::Near);
            let places = engine.find_gang(round, unit, allowed, now, near);
            places.is_some()
        };
        match may_be_far && !(unit.step.gang && is_resumed && is_near_free(self, round)) {
            true => Locality::Far,
            false => Locality::Near,
        }
    }

    fn assign(&mut self, round: &mut Round<'_>, unit: &Unit<'_>, tasks: &[u16], places: &[usize]) {
        self.avoiding.swap_remove(&unit.first_task);
        if unit.step.gang && self.speeds.is_uneven() {
            report_places(round, unit, places);
        }
        self.count_urgent_start(round, unit, places);
        round.reserve(unit, places);
        let mut placements = Vec::with_capacity(places.len());
        for (index, place) in tasks.iter().zip(places) {
            let host = &round.hosts[*place];
            placements.push(Placement {
                task: unit.task_id(*index),
                upstream: host.upstream.id.clone(),
                born_ms: host.upstream.born_ms,
            });
        }
        round.assigned += placements.len();
        self.placements.extend(placements.iter().cloned());
        self.updates.push(Update::Assign(placements));
    }
}

fn idle_services<'a>(hosts: &[Host<'a>]) -> IndexMap<&'a str, bool> {
    let mut totals: IndexMap<&str, (Resources, Resources)> = IndexMap::default();
    for host in hosts {
        let (capacity, free) = totals.entry(host.upstream.service.as_str()).or_default();
        *capacity += host.upstream.capacity;
        *free += host.free;
    }
    let is_idle = |(capacity, free): (Resources, Resources)| {
        let share = |free: i64, all: i64| all > 0 && free as f64 > all as f64 * IDLE_SHARE;
        share(free.accelerators, capacity.accelerators) || share(free.cpu_milli, capacity.cpu_milli)
    };
    let totals = totals.into_iter();
    totals.map(|(name, sums)| (name, is_idle(sums))).collect()
}
