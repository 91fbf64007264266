use {
    super::{
        Engine,
        engine::RunKey,
        lasting::members_of,
        round::Round,
        tracked_run::{Phase, TrackedRun},
    },
    crate::place::Host,
    std::time::{Duration, Instant},
    work::{
        collections::{IndexMap, IndexSet},
        id,
        job::Step,
        registry::Registry,
    },
};

/// Remaining time from which a run is moved. Its stop, the commit of its end and the restore of its checkpoint take about
/// 1.5 s, so the caller of a shorter one would wait a quarter longer or more for what is left.
const MOVED_FROM: Duration = Duration::from_secs(6);

/// Limit of runs that are being moved at once, so that their starts are no burst on the other upstreams.
pub(super) const MAX_MOVING: usize = 16;

/// Interval between two searches for runs to move.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What to do with a run in an evacuated data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evacuation {
    /// Let it run to its end there.
    Keep,
    /// Stop it, so that the task goes on elsewhere from its checkpoint.
    Move,
}

impl Evacuation {
    /// Decides for a run that needs `need` more time. `has_room` tells whether it fits elsewhere without making other work
    /// wait.
    pub fn decide(need: Duration, saves_checkpoints: bool, has_room: bool) -> Evacuation {
        match saves_checkpoints && has_room && need >= MOVED_FROM {
            true => Evacuation::Move,
            false => Evacuation::Keep,
        }
    }
}

/// What is left in an evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leftover {
    /// Name of the data centre.
    pub data_centre: String,
    /// Time since it was evacuated.
    pub since: Duration,
    /// Number of runs that may still be running there.
    pub runs: usize,
    /// Number of those that are being stopped.
    pub stopping: usize,
    /// Number of those that last until their jobs are cancelled.
    pub lasting: usize,
    /// Number of those that last and are not moved, as their steps do not allow that so many tasks are unavailable.
    pub bound: usize,
    /// Longest expected time until one of the others ends.
    pub need: Duration,
}

/// When the evacuated data centres are looked at next, and what was found.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch {
    next_move: Option<Instant>,
    next_report: Option<Instant>,
    /// Result that was not taken yet.
    leftovers: Option<Vec<Leftover>>,
    /// Whether the latest result held any data centre.
    is_reporting: bool,
}

/// Work in data centres that an operator has evacuated.
impl Engine {
    /// Whether the upstream of a run is in an evacuated data centre.
    pub(super) fn is_in_evacuated(&self, registry: &Registry, key: RunKey) -> bool {
        let tracked = self.tracked_runs.get(&key);
        tracked.is_some_and(|tracked| evacuated_centre(registry, tracked).is_some())
    }

    /// What is left in the evacuated data centres, if that was looked at since the previous call.
    pub fn take_leftovers(&mut self) -> Option<Vec<Leftover>> {
        self.evacuation_watch.leftovers.take()
    }

    /// Moves runs out of evacuated data centres into room that no work waits for, the longest first. `waiting` holds the
    /// services with work that waits.
    pub(super) fn move_evacuated(&mut self, round: &mut Round<'_>, waiting: &IndexSet<&str>) {
        let registry = round.registry;
        let is_due = self
            .evacuation_watch
            .next_move
            .is_none_or(|at| self.now >= at);
        if !is_due || round.assigned > 0 || registry.evacuations().in_force().next().is_none() {
            return;
        }
        self.evacuation_watch.next_move = Some(self.now + MOVE_INTERVAL);
        self.effort.planned += self.tracked_runs.len() as u64;
        let mut moving = 0;
        let mut candidates: IndexMap<RunKey, Duration> = IndexMap::default();
        for (key, tracked) in &self.tracked_runs {
            if evacuated_centre(registry, tracked).is_none() {
                continue;
            }
            moving += usize::from(tracked.stopping.is_some());
            if let Some(need) = self.need_if_movable(registry, *key, tracked, waiting) {
                let gang = registry.step(&key.0).is_some_and(|step| step.gang);
                let unit = match gang {
                    true => (id::Task { index: 0, ..key.0 }, key.1),
                    false => *key,
                };
                let longest = candidates.entry(unit).or_default();
                *longest = need.max(*longest);
            }
        }
        // Other work ends by itself.
        moving = self.move_lasting(round, waiting, moving);
        candidates.sort_by(|_, a, _, b| b.cmp(a));
        for (key, need) in candidates {
            let Some(step) = registry.step(&key.0) else {
                continue;
            };
            let members = match step.gang {
                true => self.gang_members(registry, key),
                false => vec![key],
            };
            let is_whole = !step.gang || members.len() == usize::from(step.count);
            if moving + members.len() > MAX_MOVING || !is_whole {
                continue;
            }
            let has_room = take_room(round, registry, key.0, members.len());
            if Evacuation::decide(need, step.checkpoints, has_room) == Evacuation::Move {
                moving += members.len();
                for member in members {
                    self.stop(member, "evacuated");
                }
            }
        }
    }

    /// Expected time until a run ends, if it can be moved: it works and saves checkpoints, and it would not be slower
    /// elsewhere.
    fn need_if_movable(
        &self,
        registry: &Registry,
        key: RunKey,
        tracked: &TrackedRun,
        waiting: &IndexSet<&str>,
    ) -> Option<Duration> {
        let job = registry.job(key.0.job)?;
        let queue = registry.queue(&job.queue)?;
        let step = job.step(&key.0)?;
        let upstream = registry.upstream(&tracked.upstream)?;
        let is_working = tracked.is_listed && matches!(tracked.phase, Phase::Started { .. });
        // Where these may run is not known from the room alone.
        let is_bound = queue.advice.is_some() || step.spread.is_some() || step.lasting;
        let has_data_here = step.data_rack.as_ref() == Some(&upstream.rack);
        let is_movable = is_working
            && step.checkpoints
            && tracked.stopping.is_none()
            && !is_bound
            && !has_data_here
            && !waiting.contains(queue.service.as_str());
        is_movable.then(|| self.need(job, step, tracked))
    }

    /// Looks at what is left in the evacuated data centres, once a second while there are any.
    pub(super) fn watch_evacuated(&mut self, registry: &Registry) {
        let watch = &self.evacuation_watch;
        let has_any = registry.evacuations().in_force().next().is_some();
        let is_due = watch.next_report.is_none_or(|at| self.now >= at);
        if !is_due || !(has_any || watch.is_reporting) {
            return;
        }
        let mut found: IndexMap<&str, Leftover> = IndexMap::default();
        for (name, evacuation) in registry.evacuations().in_force() {
            let leftover = Leftover {
                data_centre: name.to_owned(),
                since: Duration::from_millis(self.time_ms.saturating_sub(evacuation.begun_ms)),
                runs: 0,
                stopping: 0,
                lasting: 0,
                bound: 0,
                need: Duration::ZERO,
            };
            found.insert(name, leftover);
        }
        for (key, tracked) in &self.tracked_runs {
            let centre = evacuated_centre(registry, tracked);
            let Some(leftover) = centre.and_then(|name| found.get_mut(name)) else {
                continue;
            };
            leftover.runs += 1;
            leftover.stopping += usize::from(tracked.stopping.is_some());
            match (registry.job(key.0.job), registry.step(&key.0)) {
                (Some(job), Some(step)) if !step.lasting => {
                    leftover.need = leftover.need.max(self.need(job, step, tracked));
                }
                (_, Some(step)) => {
                    leftover.lasting += 1;
                    let is_bound = usize::from(step.spare) < members_of(step);
                    leftover.bound += usize::from(is_bound);
                }
                _ => {}
            }
        }
        let leftovers: Vec<Leftover> = found.into_values().collect();
        for leftover in &leftovers {
            log::info!(
                "event=evacuation data_centre={} since_ms={} runs={} stopping={} lasting={} bound={} need_ms={}",
                leftover.data_centre,
                leftover.since.as_millis(),
                leftover.runs,
                leftover.stopping,
                leftover.lasting,
                leftover.bound,
                leftover.need.as_millis()
            );
        }
        let watch = &mut self.evacuation_watch;
        watch.next_report = Some(self.now + REPORT_INTERVAL);
        watch.is_reporting = !leftovers.is_empty();
        watch.leftovers = Some(leftovers);
    }
}

/// Name of the evacuated data centre in which a run is; none if its data centre is not evacuated.
fn evacuated_centre<'a>(registry: &'a Registry, tracked: &TrackedRun) -> Option<&'a str> {
    let upstream = registry.upstream(&tracked.upstream)?;
    let data_centre = upstream.data_centre.as_str();
    registry.is_evacuated(data_centre).then_some(data_centre)
}

/// Takes room for tasks of a step on the hosts of a round, on one rack if they need one. Returns whether there is enough
/// beside what is kept for urgent work and waiting gangs.
fn take_room(round: &mut Round<'_>, registry: &Registry, task: id::Task, count: usize) -> bool {
    let Some((job, step)) = registry.job(task.job).zip(registry.step(&task)) else {
        return false;
    };
    let Some(queue) = registry.queue(&job.queue) else {
        return false;
    };
    let service = queue.service.as_str();
    let needed = step.reserved();
    let accelerators = needed.accelerators * count as i64;
    let has_supply = round
        .supply
        .get(service)
        .is_some_and(|supply| supply.free - supply.reserved - supply.gang_reserve >= accelerators);
    if !has_supply {
        return false;
    }
    let one_rack = step.gang && step.same_rack;
    let mut groups: IndexMap<&str, Vec<(usize, usize)>> = IndexMap::default();
    for (position, host) in round.hosts.iter().enumerate() {
        let slots = slots_of(host, service, step);
        let rack = if one_rack {
            host.upstream.rack.as_str()
        } else {
            ""
        };
        if slots > 0 {
            groups.entry(rack).or_default().push((position, slots));
        }
    }
    let sum = |group: &[(usize, usize)]| group.iter().map(|(_, slots)| slots).sum::<usize>();
    let fitting = groups.into_values().filter(|group| sum(group) >= count);
    let Some(group) = fitting.min_by_key(|group| sum(group)) else {
        return false;
    };
    let places = group
        .into_iter()
        .flat_map(|(position, slots)| std::iter::repeat_n(position, slots));
    for position in places.take(count) {
        let host = &mut round.hosts[position];
        host.free -= needed;
        host.free_soon -= needed;
    }
    if let Some(supply) = round.supply.get_mut(service) {
        supply.free -= accelerators;
    }
    true
}

/// How many tasks of a step fit on a host in room that is free and not kept for other work.
fn slots_of(host: &Host<'_>, service: &str, step: &Step) -> usize {
    let label = step.label.as_ref();
    let has_label = label.is_none_or(|label| host.upstream.labels.contains(label));
    if host.upstream.service != service || !has_label || host.set_aside || host.collecting {
        return 0;
    }
    let needed = step.reserved();
    host.free
        .multiples_of(&needed)
        .min(host.free_soon.multiples_of(&needed))
}
