use {
    super::{
        Engine,
        drain::STOP_DELIVERY,
        engine::RunKey,
        evacuation::{Evacuation, MAX_MOVING},
        round::Round,
        tracked_run::{Phase, TrackedRun},
    },
    crate::{
        order::{Rank, Unit},
        place::{self, Availability, Locality},
    },
    work::{
        collections::{IndexMap, IndexSet},
        id,
        job::Step,
        registry::Registry,
    },
};

impl Evacuation {
    /// Decides for `members` tasks of a step that are stopped together and last until their job is cancelled. `spare` is
    /// the number of the step's tasks that the scheduler may make unavailable at the same time, `away` how many others
    /// are not known to be at work. `has_room` tells whether they fit elsewhere without making other work wait.
    pub fn decide_lasting(members: usize, away: usize, spare: usize, has_room: bool) -> Evacuation {
        match has_room && away + members <= spare {
            true => Evacuation::Move,
            false => Evacuation::Keep,
        }
    }
}

/// Tasks that last in data centres that an operator has evacuated.
impl Engine {
    /// Moves tasks that last out of evacuated data centres, as many of a step at a time as may be unavailable. `waiting`
    /// holds the services with work that waits, `moving` is the number of runs that are being moved already. Returns the
    /// number of runs that are being moved afterwards.
    pub(super) fn move_lasting(
        &mut self,
        round: &mut Round<'_>,
        waiting: &IndexSet<&str>,
        moving: usize,
    ) -> usize {
        let registry = round.registry;
        let mut moving = moving;
        let mut units: IndexMap<RunKey, usize> = IndexMap::default();
        for (key, tracked) in &self.tracked_runs {
            let Some(step) = registry.step(&key.0) else {
                continue;
            };
            if !step.lasting || !self.is_in_evacuated(registry, *key) || !self.is_at_work(tracked) {
                continue;
            }
            let unit = match step.gang {
                true => (id::Task { index: 0, ..key.0 }, key.1),
                false => *key,
            };
            units.insert(unit, members_of(step));
        }
        for (key, members) in units {
            let Some(step) = registry.step(&key.0) else {
                continue;
            };
            let spare = usize::from(step.spare);
            if spare < members || moving + members > MAX_MOVING {
                continue;
            }
            let away = match step.gang {
                true => 0,
                false => self.away_beside(registry, key.0, step),
            };
            // The room is taken from the round, so it is looked for last.
            if Evacuation::decide_lasting(members, away, spare, true) == Evacuation::Keep {
                continue;
            }
            let has_room = self.take_room_for_lasting(round, key.0, waiting);
            if Evacuation::decide_lasting(members, away, spare, has_room) == Evacuation::Move {
                moving += members;
                self.stop(key, "evacuated");
                self.stop_gang(registry, key, "evacuated");
            }
        }
        moving
    }

    /// Number of tasks of the step that may be stopped for a guarantee. A step that says how many of its tasks may be
    /// unavailable loses no more than that; the others have no such promise.
    pub(super) fn displaceable(&self, task: id::Task, step: &Step) -> usize {
        let spare = usize::from(step.spare);
        if spare == 0 {
            return usize::from(step.count);
        }
        let is_member = |key: &RunKey| key.0.is_same_step(&task);
        let runs = self.tracked_runs.iter().filter(|(key, _)| is_member(key));
        let at_work: IndexSet<u16> = runs
            .filter(|(_, tracked)| self.is_at_work(tracked))
            .map(|(key, _)| key.0.index)
            .collect();
        let away = usize::from(step.count) - at_work.len();
        spare.saturating_sub(away)
    }

    /// Number of tasks of the step, other than the given one, that are not known to be at work.
    fn away_beside(&self, registry: &Registry, task: id::Task, step: &Step) -> usize {
        let others = (0..step.count).filter(|index| *index != task.index);
        let is_at_work = |index: &u16| {
            let other = id::Task {
                index: *index,
                ..task
            };
            let runs = registry
                .task(&other)
                .into_iter()
                .flat_map(|task| &task.live);
            let mut tracked = runs.filter_map(|run| self.tracked_runs.get(&(other, run.number)));
            tracked.any(|tracked| self.is_at_work(tracked))
        };
        others.filter(|index| !is_at_work(index)).count()
    }

    /// Whether a run of a task that lasts is known to be at work, and to go on: its upstream has listed it as such to this
    /// leader, can be reached and does not leave. A stop that an earlier leader has ordered is carried out within the
    /// given time after the first listing, as the upstream takes no orders of that leader any more.
    fn is_at_work(&self, tracked: &TrackedRun) -> bool {
        let session = self.sessions.get(&tracked.upstream);
        let is_sound = session.is_some_and(|session| {
            session.is_usable(self.now, &self.settings)
                && session.born_ms == tracked.born_ms
                && !session.draining
        });
        let settled_from = tracked.progressed_at + self.settings.stop_timeout + STOP_DELIVERY;
        is_sound
            && tracked.is_listed
            && tracked.percent >= 100
            && tracked.stopping.is_none()
            && matches!(tracked.phase, Phase::Started { .. })
            && self.now >= settled_from
    }

    /// Takes room for a task that lasts, or for its gang, where the planning would place it. Returns whether there is
    /// enough beside what is kept for other work.
    fn take_room_for_lasting(
        &mut self,
        round: &mut Round<'_>,
        task: id::Task,
        waiting: &IndexSet<&str>,
    ) -> bool {
        let registry = round.registry;
        let (Some(job), Some(step)) = (registry.job(task.job), registry.step(&task)) else {
            return false;
        };
        let Some(queue) = registry.queue(&job.queue) else {
            return false;
        };
        let progress = registry.progress(&task);
        let tasks = progress.into_iter().flat_map(|progress| &progress.tasks);
        let is_suspect = tasks.clone().any(|task| task.losses.is_suspect());
        // A task that may crash upstreams gets one of its own, which this search does not look for.
        if is_suspect || waiting.contains(queue.service.as_str()) {
            return false;
        }
        let unit = Unit {
            first_task: id::Task { index: 0, ..task },
            step,
            tasks: match step.gang {
                true => (0..step.count).collect(),
                false => vec![task.index],
            },
            resources: step.reserved(),
            service: &queue.service,
            account: job.account.as_deref(),
            priority: queue.priority,
            rank: Rank::OnTime(queue.priority),
            start_by_ms: 0.0,
            expected_ms: 0.0,
            left_ms: 0.0,
            ready_since_ms: self.time_ms,
            last_chance: false,
            needs_advice: queue.advice.is_some(),
            yields_quickly: false,
            suspect: false,
            isolated: false,
            failed_on: tasks.flat_map(|task| task.failed_on.clone()).collect(),
        };
        let count = unit.tasks.len();
        if round.allowance(&unit) < count {
            return false;
        }
        let allowed = self.allowed(registry, &unit, &round.hosts);
        let (hosts, far) = (&round.hosts, Locality::Far);
        let places = match step.gang {
            true => place::gang(&unit, hosts, &allowed, Availability::Now, far),
            false => Some(place::fill(&unit, hosts, &allowed, far, count)),
        };
        match places.filter(|places| places.len() == count) {
            Some(places) => {
                round.reserve(&unit, &places);
                true
            }
            None => false,
        }
    }
}

/// Number of tasks of a step that are stopped together.
pub(super) fn members_of(step: &Step) -> usize {
    match step.gang {
        true => usize::from(step.count),
        false => 1,
    }
}
