use {
    super::{Router, upstream::Upstream},
    crate::{
        member::{Delta, Members},
        share::{Capacity, Holder, Report},
    },
    indexmap::IndexMap,
    model::place::permits,
    std::time::{Duration, Instant},
};

/// Demand per upstream that an idle instance reports, in hundredths of a slot, for upstreams in its own region
/// and in others. With it, the first requests find a share.
const IDLE_DEMAND: (f64, f64) = (25.0, 5.0);

/// Weight of the latest demand in the smoothed one. Unsmoothed demand would move shares back and forth.
const DEMAND_WEIGHT: f64 = 0.3;

/// Time in which the demand for queued requests would drain the queues.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Least time between two updates of the smoothed demand.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Messages to other instances, and the demand that they report.
impl Router {
    /// Returns the gossip messages due now with the ids of their receivers; to be called every 500 ms.
    pub fn gossip(&mut self, now: Instant) -> Vec<(u64, Delta)> {
        self.members.messages(now)
    }

    /// Returns the report due now for the leader of `region`; to be called every 500 ms for each of
    /// [`Router::regions`].
    pub fn report(&mut self, region: &str, now: Instant) -> Report {
        self.refresh(now);
        self.update_demand(now);
        if self.draining && self.pending.is_empty() {
            // No request follows. Unless the shares are released, the granter counts them as used until the
            // longest deadline after the end of the process.
            self.demand.clear();
            let closed = self.closed;
            let holder = self.holder(region, now);
            match closed {
                true => holder.retire(),
                false => holder.release(),
            }
        }
        let (own, other) = if self.draining {
            (0.0, 0.0)
        } else {
            IDLE_DEMAND
        };
        let home = self.settings.site.region.clone();
        let mut wants: Vec<f64> = self
            .upstreams
            .values()
            .map(|upstream| {
                if upstream.site.region == home {
                    own
                } else {
                    other
                }
            })
            .collect();
        for ((account, service), (_, demand)) in &self.demand {
            let config = self.config.as_ref();
            let Some(account) = config.and_then(|config| config.accounts.get(account)) else {
                continue;
            };
            let fits = |upstream: &Upstream| {
                upstream.usable && upstream.service == *service && permits(account, &upstream.site)
            };
            let count = |local: bool| {
                let upstreams = self.upstreams.values();
                upstreams
                    .filter(|upstream| fits(upstream) && (upstream.site.region == home) == local)
                    .count() as f64
            };
            let (local_count, remote_count) = (count(true), count(false));
            // Idle slots of other regions are granted for `IDLE_DEMAND`. More demand for them while the own
            // region has upstreams would only withhold them from their own region.
            let remote_fraction = if local_count > 0.0 { 0.0 } else { 1.0 };
            for (want, upstream) in wants.iter_mut().zip(self.upstreams.values()) {
                if !fits(upstream) {
                    continue;
                }
                *want += 100.0
                    * if upstream.site.region == home {
                        demand / local_count
                    } else {
                        demand * remote_fraction / remote_count
                    };
            }
        }
        let rows: Vec<(String, u16, u32)> = self
            .upstreams
            .iter()
            .zip(wants)
            .filter(|((_, upstream), _)| upstream.site.region == region)
            .map(|((name, upstream), want)| {
                let want = if upstream.usable { want } else { 0.0 };
                (name.clone(), upstream.busy, want as u32)
            })
            .collect();
        self.holder(region, now).report(rows, now)
    }

    /// Regions with upstreams or shares, to whose leaders this instance reports.
    pub fn regions(&self, now: Instant) -> Vec<String> {
        let mut regions: Vec<String> = self.holders.keys().cloned().collect();
        for upstream in self.members.usable(now) {
            if !regions.contains(&upstream.site.region) {
                regions.push(upstream.site.region.clone());
            }
        }
        regions
    }

    /// Capacities of the live upstreams of `region` that are not departing, for a granter on this instance.
    pub fn capacities(&self, region: &str, now: Instant) -> Vec<Capacity> {
        self.members
            .all(now)
            .filter(|(announcement, _)| {
                !announcement.departing && announcement.upstream.site.region == region
            })
            .map(|(announcement, age)| Capacity {
                upstream: announcement.upstream.name.clone(),
                slots: announcement.upstream.slots,
                busy: announcement.busy,
                age,
            })
            .collect()
    }

    /// The membership as known to this instance.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Updates the smoothed number of slots that offered and queued requests need, per account and service.
    ///
    /// Requests count when they are offered, not when they are admitted: an instance with a small share refuses
    /// more of them, and would never get a larger share.
    fn update_demand(&mut self, now: Instant) {
        let elapsed = match self.demand_updated {
            Some(at) => now.duration_since(at),
            None => UPDATE_INTERVAL,
        };
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.demand_updated = Some(now);
        let mut queued: IndexMap<(String, String), f64> = IndexMap::new();
        for (key, count) in self.queues.lengths() {
            let mean = self.latency(&key.service, key.class).mean().as_secs_f64();
            *queued.entry((key.account, key.service)).or_default() += count as f64 * mean;
        }
        for key in queued.keys() {
            self.demand.entry(key.clone()).or_default();
        }
        for (key, (offered, smoothed)) in &mut self.demand {
            let waiting = queued.get(key).copied().unwrap_or(0.0);
            let next = *offered / elapsed.as_secs_f64() + waiting / DRAIN_TIME.as_secs_f64();
            *smoothed += DEMAND_WEIGHT * (next - *smoothed);
            *offered = 0.0;
        }
        self.demand.retain(|_, (_, smoothed)| *smoothed > 1e-4);
    }

    /// The holder of the shares in `region`, created if there is none.
    pub(super) fn holder(&mut self, region: &str, now: Instant) -> &mut Holder {
        let (instance, boot) = (self.settings.instance, self.settings.boot);
        self.holders
            .entry(region.to_owned())
            .or_insert_with(|| Holder::new(region, instance, boot, now))
    }
}
