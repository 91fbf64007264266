use {
    super::{Engine, obstacle::Obstacle, round::Round},
    crate::{
        order::{Rank, Unit},
        place,
    },
    std::time::Duration,
    work::{collections::IndexMap, job::Resources},
};

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Wait in milliseconds from which a gang is reported by itself.
const LONG_WAIT_MS: u64 = 1000;

/// Limit of gangs that one report lists.
const MAX_LISTED_GANGS: usize = 24;

/// Units of one obstacle.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    units: usize,
    tasks: usize,
    accelerators: i64,
    longest_wait_ms: u64,
}

/// Reports on free resources and waiting work.
impl Engine {
    /// Whether a report is due; the next one is due after a fixed interval.
    pub(super) fn is_report_due(&mut self) -> bool {
        let due = self.now >= self.next_report;
        if due {
            self.next_report = self.now + REPORT_INTERVAL;
        }
        due
    }

    /// Logs the waiting work and the resources that are free before the round.
    pub(super) fn report_load(&self, round: &Round<'_>, units: &[Unit<'_>]) {
        let waiting = |selects: fn(Rank) -> bool| {
            let units = units.iter().filter(|unit| selects(unit.rank));
            units.map(|unit| unit.tasks.len()).sum::<usize>()
        };
        let mut free = Resources::default();
        let mut capacity = Resources::default();
        for host in &round.hosts {
            free += host.free;
            capacity += host.upstream.capacity;
        }
        log::info!(
            "event=load usable={} runs={} accelerators_free={} of={} cores_free={:.0} empty={} waiting_urgent={} waiting_urgent_late={} waiting_on_time={} waiting_late={} waiting_worthless={} kept={}",
            round.hosts.len(),
            self.live_runs(),
            free.accelerators,
            capacity.accelerators,
            free.cpu_milli as f64 / 1000.0,
            round
                .hosts
                .iter()
                .filter(|host| host.free == host.upstream.capacity)
                .count(),
            waiting(|rank| matches!(rank, Rank::Guaranteed | Rank::Urgent)),
            waiting(|rank| rank == Rank::UrgentLate),
            waiting(|rank| matches!(rank, Rank::OnTime(_))),
            waiting(|rank| matches!(rank, Rank::Late(_))),
            waiting(|rank| rank == Rank::Worthless),
            round
                .supply
                .values()
                .map(|supply| supply.reserved)
                .sum::<i64>(),
        );
        log::info!(
            "event=speeds measured={} uneven={} spread={:.2}",
            self.speeds.measured(),
            self.speeds.is_uneven(),
            self.speeds.spread()
        );
    }

    /// Logs what keeps work waiting after the round, and each gang that has waited for long.
    pub(super) fn report_waiting(&self, waiting: &[(&Unit<'_>, Obstacle)]) {
        let mut totals: IndexMap<Obstacle, Total> = IndexMap::default();
        let mut listed = 0;
        for (unit, obstacle) in waiting {
            let waited_ms = self.time_ms.saturating_sub(unit.ready_since_ms);
            let accelerators = unit.resources.accelerators * unit.tasks.len() as i64;
            let total = totals.entry(*obstacle).or_default();
            total.units += 1;
            total.tasks += unit.tasks.len();
            total.accelerators += accelerators;
            total.longest_wait_ms = total.longest_wait_ms.max(waited_ms);
            if unit.step.gang && waited_ms >= LONG_WAIT_MS && listed < MAX_LISTED_GANGS {
                listed += 1;
                log::info!(
                    "event=gang_waits job={} step={} tasks={} accelerators={accelerators} rank={:?} waited_ms={waited_ms} reason={obstacle}",
                    unit.first_task.job,
                    unit.first_task.step,
                    unit.tasks.len(),
                    unit.rank
                );
            }
        }
        for (obstacle, total) in totals {
            log::info!(
                "event=waiting reason={obstacle} units={} tasks={} accelerators={} longest_ms={}",
                total.units,
                total.tasks,
                total.accelerators,
                total.longest_wait_ms
            );
        }
    }
}

/// Logs the speeds of the places of a gang.
pub(super) fn report_places(round: &Round<'_>, unit: &Unit<'_>, places: &[usize]) {
    let hosts = || places.iter().map(|place| &round.hosts[*place]);
    let speeds = || hosts().map(|host| host.speed);
    log::info!(
        "event=gang_placed job={} step={} tasks={} rank={:?} slowest={:.2} fastest={:.2} late={} expected_ms={:.0} left_ms={:.0}",
        unit.first_task.job,
        unit.first_task.step,
        places.len(),
        unit.rank,
        speeds().fold(f64::INFINITY, f64::min),
        speeds().fold(0.0, f64::max),
        hosts().any(|host| place::is_late(unit, host)),
        unit.expected_ms,
        unit.left_ms
    );
}
