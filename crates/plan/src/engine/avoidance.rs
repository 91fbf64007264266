use {
    super::{Engine, round::Round},
    crate::{order::Unit, place::Host},
    std::time::{Duration, Instant},
    work::collections::IndexMap,
};

/// Time for which ready work waits for an upstream without failures while its service is idle or if it lasts. The platform
/// counts work as lost that does not run for 3 s beside free capacity.
const IDLE_WAIT: Duration = Duration::from_millis(1500);

/// Time for which other ready work waits for an upstream without failures.
const BUSY_WAIT: Duration = Duration::from_secs(10);

/// Time after which an upstream gets work again where most upstreams of its service are paused because of failures.
const MAX_PAUSE_OF_MOST: Duration = Duration::from_secs(2);

/// A step that waits for an upstream without failures.
#[derive(Clone, Copy, Debug)]
pub(super) struct Avoidance {
    since: Instant,
    /// Whether it may run on upstreams with failures now.
    is_over: bool,
}

/// Upstreams that work avoids because runs have failed there.
impl Engine {
    /// Lets units run on upstreams with failures if no other upstream would take them or they have waited too long.
    pub(super) fn limit_avoidance(&mut self, round: &Round<'_>, units: &mut [Unit<'_>]) {
        let earlier = std::mem::take(&mut self.avoiding);
        for unit in units.iter_mut().filter(|unit| unit.avoids_failures()) {
            let mut avoidance = earlier.get(&unit.first_task).copied().unwrap_or(Avoidance {
                since: self.now,
                is_over: false,
            });
            let waited = self.now.saturating_duration_since(avoidance.since);
            let idle = round.idle.get(unit.service).copied().unwrap_or(false);
            let limit = match idle || unit.step.lasting {
                true => IDLE_WAIT,
                false => BUSY_WAIT,
            };
            if waited >= limit || !round.hosts.iter().any(|host| host.accepts(unit)) {
                if !avoidance.is_over {
                    log::info!(
                        "event=failures_accepted step={} tasks={} failed_on={} last_attempt={} waited_ms={}",
                        unit.first_task,
                        unit.tasks.len(),
                        unit.failed_on.len(),
                        unit.last_chance,
                        waited.as_millis()
                    );
                }
                avoidance.is_over = true;
                unit.accept_failures();
            }
            self.avoiding.insert(unit.first_task, avoidance);
        }
    }

    /// Removes the upstreams that are paused because of failures. Where most upstreams of a service are paused, the work is
    /// more likely at fault, so they get work again sooner.
    pub(super) fn remove_paused(&self, hosts: &mut Vec<Host<'_>>) {
        let mut counts: IndexMap<&str, (usize, usize)> = IndexMap::default();
        for host in hosts.iter() {
            let (paused, all) = counts.entry(&host.upstream.service).or_default();
            let health = self.health.get(&host.upstream.id);
            *paused += usize::from(health.is_some_and(|health| !health.is_available(self.now)));
            *all += 1;
        }
        let is_available = |host: &Host<'_>| {
            let Some(health) = self.health.get(&host.upstream.id) else {
                return true;
            };
            match counts.get(host.upstream.service.as_str()) {
                Some((paused, all)) if paused * 2 > *all => {
                    health.is_available_after(MAX_PAUSE_OF_MOST, self.now)
                }
                _ => health.is_available(self.now),
            }
        };
        hosts.retain(is_available);
    }
}
