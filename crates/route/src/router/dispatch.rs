use {
    super::{
        Action, Router,
        pending::Phase,
        pending::{Attempt, Pending},
        upstream::Upstream,
    },
    crate::queue::{Key, Slots},
    indexmap::IndexMap,
    model::{account::Account, place::permits, request::Class},
    std::time::Instant,
};

/// While its own region has upstreams, a request is sent to another region only after it has waited for its time
/// to the deadline divided by this. Links between regions are slow and charged by volume.
const SPILL_DIVISOR: u32 = 4;

/// Assignment of waiting requests to upstreams.
impl Router {
    /// Sends waiting requests to upstreams with free slots.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.refresh(now);
        let Some(config) = self.config.clone() else {
            return;
        };
        while !self.queues.is_empty() {
            let mut slots = Slots::default();
            let mut any = false;
            for upstream in self.upstreams.values() {
                slots.usable += u32::from(upstream.limit);
                slots.batch += u32::from(upstream.batch);
                any |= upstream.free() > 0;
            }
            if !any {
                return;
            }
            self.rotation = self.rotation.wrapping_add(1);
            let (upstreams, pending, rotation) = (&self.upstreams, &self.pending, self.rotation);
            let region = &self.settings.site.region;
            let reserve = self.settings.queues.short_reserve;
            let adaptive = self.settings.adaptive_reserve;
            let admits_batch: Vec<bool> = self
                .pools
                .iter()
                .map(|pool| pool.admits_batch(reserve, adaptive))
                .collect();
            let taken = self.queues.take(slots, |key, waiting, batch_due| {
                let account = config.accounts.get(&key.account)?;
                let pending = pending.get(&waiting.request)?;
                let fits = |upstream: &Upstream| {
                    key.class == Class::Short || batch_due || admits_batch[upstream.pool]
                };
                find_upstream(
                    upstreams, key, account, pending, region, rotation, now, fits,
                )
            });
            let Some((_, waiting, index)) = taken else {
                return;
            };
            self.send(waiting.request, index, false, now, actions);
        }
    }

    /// Starts an attempt at the upstream with this index, and charges its expected time to the account.
    pub(super) fn send(
        &mut self,
        request: u64,
        index: usize,
        hedge: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let (service, class) = (pending.head.service.clone(), pending.head.class);
        let account = pending.head.account.clone();
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        pending.phase = Phase::Running;
        pending.attempts.push(attempt);
        pending.hedged |= hedge;
        let Some((name, upstream)) = self.upstreams.get_index_mut(index) else {
            return;
        };
        upstream.busy += 1;
        match class {
            Class::Batch => {
                upstream.batch += 1;
                self.pools[upstream.pool].batch += 1;
            }
            Class::Short => self.pools[upstream.pool].short += 1,
        }
        let name = name.clone();
        actions.push(Action::Send {
            request,
            attempt,
            upstream: name.clone(),
            address: upstream.address.clone(),
            site: upstream.site.clone(),
            cross_region: upstream.site.region != self.settings.site.region,
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
                upstream: name,
                started,
                charged,
                cancelled: false,
                unresolved_since: None,
            },
        );
    }

    /// Records the arrival of a short request in the pools that it may use: those of the own region if its
    /// account may use that region, else those of other regions.
    pub(super) fn record_short_arrival(&mut self, key: &Key, account: &Account) {
        let home = self.settings.site.region.as_str();
        let local = account.places.iter().any(|place| place.region() == home);
        let config = self.config.as_ref();
        let mut waiting = (0, 0);
        for (other, count) in self.queues.short_lengths(&key.service) {
            let other_account = config.and_then(|config| config.accounts.get(other));
            let may_use_home = other_account
                .is_some_and(|account| account.places.iter().any(|place| place.region() == home));
            if may_use_home {
                waiting.0 += count as u32;
            } else {
                waiting.1 += count as u32;
            }
        }
        for pool in &mut self.pools {
            let is_home = pool.region == home;
            let permitted = account
                .places
                .iter()
                .any(|place| place.region() == pool.region);
            if pool.service == key.service && permitted && is_home == local {
                pool.waiting = if is_home { waiting.0 } else { waiting.1 };
                pool.record_arrival();
            }
        }
    }
}

/// Returns the index of the best upstream with a free slot that has not failed the request: one in the own
/// region if possible, and among these the least loaded. The search starts at `rotation`, so that upstreams
/// with equal load take turns.
#[allow(clippy::too_many_arguments)]
pub(super) fn find_upstream(
    upstreams: &IndexMap<String, Upstream>,
    key: &Key,
    account: &Account,
    pending: &Pending,
    region: &str,
    rotation: usize,
    now: Instant,
    fits: impl Fn(&Upstream) -> bool,
) -> Option<usize> {
    let budget = pending
        .head
        .deadline
        .saturating_duration_since(pending.offered);
    let spill = now.duration_since(pending.offered) >= budget / SPILL_DIVISOR;
    let mut best: Option<(bool, u32, usize)> = None;
    let mut local = false;
    for step in 0..upstreams.len() {
        let index = (rotation + step) % upstreams.len();
        let (name, upstream) = upstreams.get_index(index)?;
        if !upstream.usable || upstream.service != key.service || !permits(account, &upstream.site)
        {
            continue;
        }
        let cross = upstream.site.region != region;
        local |= !cross && upstream.limit > 0;
        if upstream.free() == 0 || pending.tried.contains(name) || !fits(upstream) {
            continue;
        }
        let load = u32::from(upstream.busy) * 1000 / u32::from(upstream.limit.max(1));
        if best.is_none_or(|(best_cross, least, _)| (cross, load) < (best_cross, least)) {
            best = Some((cross, load, index));
        }
    }
    best.filter(|(cross, _, _)| !cross || spill || !local)
        .map(|(_, _, index)| index)
}
