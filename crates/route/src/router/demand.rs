use {
    super::Router,
    crate::{
        member::{Delta, Members},
        share::{Holder, Report, Supply},
    },
    indexmap::IndexMap,
    model::request::Class,
    std::time::Instant,
};

/// Demand per upstream that an idle instance reports, in hundredths of a slot, so that its first requests
/// find a share.
const IDLE_WANT: f64 = 25.0;

/// Weight of the latest demand in the reported one. Reported demand that jumps moves shares to and fro.
const GAIN: f64 = 0.5;

/// Messages to other instances.
impl Router {
    /// Returns the gossip due now, with the receiving instances; called each 500 ms.
    pub fn gossip(&mut self, now: Instant) -> Vec<(u64, Delta)> {
        self.members.messages(now)
    }

    /// Returns the report due now for the leader of `region`; called each 500 ms for each of
    /// [`Router::regions`].
    pub fn report(&mut self, region: &str, now: Instant) -> Report {
        self.refresh(now);
        let mut services: IndexMap<String, (f64, f64)> = IndexMap::new();
        for seat in self.seats.values() {
            let entry = services.entry(seat.service.clone()).or_default();
            entry.0 += f64::from(seat.busy);
            entry.1 += f64::from(u8::from(seat.usable));
        }
        for (service, (busy, _)) in &mut services {
            let queued = self.queues.waiting(Class::Short, service)
                + self.queues.waiting(Class::Batch, service);
            let demand = *busy + queued as f64;
            let smooth = self.demand.entry(service.clone()).or_insert(demand);
            *smooth += GAIN * (demand - *smooth);
            *busy = *smooth;
        }
        let idle = if self.draining { 0.0 } else { IDLE_WANT };
        let rows: Vec<(String, u16, u32)> = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.site.region == region)
            .map(|(name, seat)| {
                let (demand, upstreams) = services.get(&seat.service).copied().unwrap_or_default();
                let want = if seat.usable {
                    idle + 100.0 * demand / upstreams.max(1.0)
                } else {
                    0.0
                };
                (name.clone(), seat.busy, want as u32)
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

    /// What a granter on this instance needs to know about the upstreams of `region`.
    pub fn supplies(&self, region: &str, now: Instant) -> Vec<Supply> {
        self.members
            .all(now)
            .filter(|(announcement, _)| {
                !announcement.departing && announcement.upstream.site.region == region
            })
            .map(|(announcement, age)| Supply {
                upstream: announcement.upstream.name.clone(),
                slots: announcement.upstream.slots,
                busy: announcement.busy,
                age,
            })
            .collect()
    }

    /// The known upstreams.
    pub fn members(&self) -> &Members {
        &self.members
    }

    pub(super) fn holder(&mut self, region: &str, now: Instant) -> &mut Holder {
        let (instance, boot) = (self.settings.instance, self.settings.boot);
        self.holders
            .entry(region.to_owned())
            .or_insert_with(|| Holder::new(region, instance, boot, now))
    }
}
