use {
    super::{
        Engine,
        engine::RunKey,
        obstacle::Obstacle,
        round::{Claim, Round},
    },
    crate::{
        order::{Rank, Unit},
        place::Locality,
        reclaim::{self, Victim},
    },
    std::time::Duration,
    work::{
        collections::{IndexMap, IndexSet},
        id,
    },
};

/// Maximum number of units for which one round searches victims, the most expensive part of planning.
const MAX_VICTIM_SEARCHES: usize = 6;

/// Share of the reclaim time after which a guaranteed gang takes places on several racks or slow upstreams rather than be
/// late.
const GUARANTEED_NEAR_SHARE: f64 = 0.35;

/// Share of the reclaim time for which guaranteed work preempts no more than other work of priority 0. Most of it has
/// begun by then, and what is left of the reclaim time does for stops, log entries and the start of a gang.
const GUARANTEED_ORDINARY_SHARE: f64 = 0.2;

/// Longest time that upstreams take to stop a run for which guaranteed work waits so. After a slower stop it would miss
/// its objective.
const GUARANTEED_ORDINARY_STOP: Duration = Duration::from_millis(250);

/// Progress in percent from which a run is not preempted: it ends about as soon as it could be stopped.
const NEARLY_DONE_PERCENT: u8 = 90;

/// Preemption of running work for gangs.
impl Engine {
    /// Preempts other work for a gang on some of the allowed upstreams. Returns what keeps it waiting.
    pub(super) fn preempt_for_gang<'a>(
        &mut self,
        round: &mut Round<'a>,
        unit: &Unit<'a>,
        allowed: &[bool],
        locality: Locality,
    ) -> Option<Obstacle> {
        let claim = self.claim(unit);
        let work = self.expected_core_seconds(round, unit);
        let limit = claim.rank(unit).preemption_budget(work)?;
        if round.victim_searches >= MAX_VICTIM_SEARCHES {
            return Some(Obstacle::SearchLimit);
        }
        if !self.has_met_upstreams() {
            return Some(Obstacle::Discovery);
        }
        round.victim_searches += 1;
        let mut victims = match round.victims.swap_remove(&claim) {
            Some(victims) => victims,
            None => self.victims(round, claim),
        };
        self.effort.planned += (round.hosts.len() + victims.len()) as u64;
        let choice = reclaim::choose_victims(unit, &round.hosts, allowed, &victims, locality);
        let Some((chosen, places)) = choice else {
            round.victims.insert(claim, victims);
            return Some(Obstacle::Preemption);
        };
        let lost_core_seconds: f64 = chosen
            .iter()
            .map(|position| victims[*position].lost_core_seconds)
            .sum();
        if lost_core_seconds > limit {
            round.victims.insert(claim, victims);
            return Some(Obstacle::Preemption);
        }
        log::info!(
            "event=reclaim job={} step={} tasks={} rank={:?} victims={} waste_core_s={lost_core_seconds:.0} reach={locality:?} due={}",
            unit.first_task.job,
            unit.first_task.step,
            unit.tasks.len(),
            unit.rank,
            chosen.len(),
            claim.guaranteed.is_some()
        );
        self.load_watch.preempted_core_seconds += lost_core_seconds;
        for position in &chosen {
            self.preempt(round, unit, &victims[*position]);
        }
        let mut chosen = chosen;
        chosen.sort_unstable();
        for position in chosen.into_iter().rev() {
            victims.remove(position);
        }
        // Other claims may have the same victims.
        round.victims.clear();
        round.victims.insert(claim, victims);
        round.attempts.discard_soon();
        self.add_reservation(round, unit, &places);
        round.reserve(unit, &places);
        Some(Obstacle::Freeing)
    }

    /// Stops a victim; its resources count as being freed.
    fn preempt(&mut self, round: &mut Round<'_>, unit: &Unit<'_>, victim: &Victim) {
        for (host, resources) in &victim.resources {
            round.hosts[*host].free_soon += *resources;
        }
        for key in &victim.runs {
            self.stop(*key, "reclaim");
        }
        if let Some(supply) = round.supply.get_mut(unit.service) {
            let freed = victim.resources.iter();
            supply.free += freed
                .map(|(_, resources)| resources.accelerators)
                .sum::<i64>();
        }
    }

    /// Whether a guarantee would be missed if the unit waited longer for a better place.
    pub(super) fn must_start(&self, unit: &Unit<'_>) -> bool {
        unit.rank == Rank::Guaranteed && self.has_used_of_reclaim_time(unit, GUARANTEED_NEAR_SHARE)
    }

    /// Whether the unit has waited for longer than a share of the reclaim time.
    fn has_used_of_reclaim_time(&self, unit: &Unit<'_>, share: f64) -> bool {
        let waited_ms = self.time_ms.saturating_sub(unit.ready_since_ms) as f64;
        waited_ms > self.settings.reclaim_time.as_millis() as f64 * share
    }

    /// What the unit may have preempted now.
    fn claim<'a>(&self, unit: &Unit<'a>) -> Claim<'a> {
        let is_due = self.has_used_of_reclaim_time(unit, GUARANTEED_ORDINARY_SHARE)
            || self.settings.stop_timeout > GUARANTEED_ORDINARY_STOP;
        Claim {
            priority: unit.priority,
            guaranteed: (unit.rank == Rank::Guaranteed && is_due).then_some(unit.account),
        }
    }

    /// Running work that may be preempted for the unit; a gang only if all of its members may be.
    fn victims(&self, round: &Round<'_>, claim: Claim<'_>) -> Vec<Victim> {
        let mut groups: IndexMap<RunKey, Victim> = IndexMap::default();
        let mut protected: IndexSet<RunKey> = IndexSet::default();
        // How many more tasks of each step that lasts may be stopped.
        let mut displaceable: IndexMap<id::Task, usize> = IndexMap::default();
        for (key, tracked) in &self.tracked_runs {
            let (Some(job), Some(step)) =
                (round.registry.job(key.0.job), round.registry.step(&key.0))
            else {
                continue;
            };
            let Some(queue) = round.registry.queue(&job.queue) else {
                continue;
            };
            let group = match step.gang {
                true => (id::Task { index: 0, ..key.0 }, key.1),
                false => *key,
            };
            // Work of priority 0 beyond the guarantee of its account is preempted for guaranteed work of another
            // account.
            let exceeds_guarantee = queue.priority == 0
                && claim
                    .guaranteed
                    .is_some_and(|account| job.account.as_deref() != account)
                && !job
                    .account
                    .as_deref()
                    .is_some_and(|account| round.guaranteed.contains(account));
            let lower = queue.priority > claim.priority || exceeds_guarantee;
            let progress = round.registry.task(&key.0);
            let has_few_starts = progress.is_some_and(|task| task.losses.leaves_few_starts());
            let mut is_protected = !lower || has_few_starts || tracked.stopping.is_some();
            is_protected |= match step.lasting {
                true => claim.guaranteed.is_none(),
                false => tracked.percent >= NEARLY_DONE_PERCENT,
            };
            if step.lasting && !is_protected {
                let first_task = id::Task { index: 0, ..key.0 };
                let left = displaceable
                    .entry(first_task)
                    .or_insert_with(|| self.displaceable(key.0, step));
                is_protected = *left == 0;
                *left = left.saturating_sub(1);
            }
            if is_protected {
                protected.insert(group);
                continue;
            }
            let victim = groups.entry(group).or_insert_with(|| Victim {
                runs: Vec::new(),
                resources: Vec::new(),
                priority: queue.priority,
                lost_core_seconds: 0.0,
            });
            victim.runs.push(*key);
            let age = self.now.saturating_duration_since(tracked.tracked_since);
            victim.lost_core_seconds +=
                reclaim::lost_work(&tracked.resources, age, step.checkpoints);
            if let Some(position) = round.positions.get(&tracked.upstream) {
                victim.resources.push((*position, tracked.resources));
            }
        }
        groups.retain(|group, _| !protected.contains(group));
        groups.into_values().collect()
    }
}
