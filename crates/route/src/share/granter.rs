use {
    super::{DRIFT, Grant, LEASE, Report, Share},
    crate::faults::{Fault, planted},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// An announcement shows the busy slots of a moment up to this long before it is heard.
const BUSY_MARGIN: Duration = Duration::from_secs(1);

/// What the granter knows about an upstream of its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The upstream.
    pub upstream: String,
    /// Its slots.
    pub slots: u16,
    /// Slots that ran a request when it announced last, if it reports them.
    pub busy: Option<u16>,
    /// Age of that announcement.
    pub age: Duration,
}

#[derive(Debug, Default)]
struct Pool {
    slots: u16,
    /// Lowest reported busy slots since the leases of the predecessor ended; bounds what is still in use
    /// by holders unknown to this leader.
    unknown: Option<u16>,
    targets: IndexMap<(u64, u64), u16>,
}

/// Slots of one upstream that one process uses or may use.
#[derive(Debug, Default)]
struct Row {
    confirmed: u16,
    pending: Vec<(u64, u16)>,
    want: u32,
}

impl Row {
    fn charge(&self) -> u16 {
        self.pending
            .iter()
            .map(|(_, slots)| *slots)
            .fold(self.confirmed, u16::max)
    }
}

#[derive(Debug)]
struct Party {
    number: u64,
    sequence: u64,
    /// Whether it applied a grant of this term, after which no grant of an earlier term counts there.
    joined: bool,
    age_at_start: Duration,
    lease_end: Instant,
    rows: IndexMap<String, Row>,
}

/// Grants shares of the slots of one region's upstreams; run by the region leader.
///
/// For each upstream the sum of the *charges* never exceeds the slots. The charge of a process is the highest
/// number of slots that it may use: what it reported, or any later grant that it has not yet confirmed.
#[derive(Debug)]
pub struct Granter {
    region: String,
    term: u64,
    started: Instant,
    max_deadline: Duration,
    instances: Vec<u64>,
    pools: IndexMap<String, Pool>,
    parties: IndexMap<(u64, u64), Party>,
}

impl Granter {
    /// Returns the granter of a leader elected in `term` just now. `instances` are all instances that may
    /// hold shares.
    pub fn new(
        region: &str,
        term: u64,
        instances: &[u64],
        max_deadline: Duration,
        now: Instant,
    ) -> Granter {
        Granter {
            region: region.to_owned(),
            term,
            started: now,
            // The clock of an upstream may run 5% slower than this one.
            max_deadline: max_deadline + max_deadline / 20,
            instances: instances.to_vec(),
            pools: IndexMap::new(),
            parties: IndexMap::new(),
        }
    }

    /// The term in which this granter was elected.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces what is known about the upstreams; those not listed have no slots to grant.
    pub fn set_capacities(&mut self, capacities: impl IntoIterator<Item = Capacity>, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.slots = 0;
        }
        for capacity in capacities {
            let pool = self.pools.entry(capacity.upstream.clone()).or_default();
            pool.slots = capacity.slots;
            let Some(busy) = capacity.busy else {
                continue;
            };
            let Some(measured) = now.checked_sub(capacity.age + BUSY_MARGIN) else {
                continue;
            };
            if measured >= self.started + LEASE + DRIFT {
                pool.unknown = Some(pool.unknown.map_or(busy, |least| least.min(busy)));
            }
            for party in self.parties.values_mut() {
                if let (true, Some(row)) = (
                    measured >= party.lease_end,
                    party.rows.get_mut(&capacity.upstream),
                ) {
                    row.confirmed = row.charge().min(busy);
                    row.pending.clear();
                }
            }
        }
        self.expire(now);
    }

    fn expire(&mut self, now: Instant) {
        let bound = if planted(Fault::EarlyReturn) {
            // The share returns while the lease runs and requests may be in flight.
            Duration::ZERO
        } else {
            self.max_deadline
        };
        self.parties.retain(|_, party| {
            let end = if planted(Fault::EarlyReturn) {
                party.lease_end - LEASE / 2
            } else {
                party.lease_end
            };
            now < end + bound
        });
        let parties = &self.parties;
        self.pools.retain(|name, pool| {
            pool.slots > 0 || parties.values().any(|party| party.rows.contains_key(name))
        });
    }

    /// Slots that the processes may use together.
    pub fn charged(&self, upstream: &str) -> u32 {
        self.parties
            .values()
            .filter_map(|party| party.rows.get(upstream))
            .map(|row| u32::from(row.charge()))
            .sum()
    }

    /// Slots that holders unknown to this leader may still use.
    fn unknown(&self, pool: &Pool, now: Instant) -> u32 {
        let elapsed = now.duration_since(self.started);
        if planted(Fault::GrantAtOnce) || elapsed >= LEASE + DRIFT + self.max_deadline {
            return 0;
        }
        if elapsed < LEASE + DRIFT {
            return u32::from(pool.slots);
        }
        let mut missing = false;
        let mut young = false;
        for instance in &self.instances {
            let party = self
                .parties
                .iter()
                .find(|((id, _), party)| id == instance && party.joined);
            match party {
                None => missing = true,
                // Requests of an earlier process of this instance may still run.
                Some((_, party)) => {
                    young |= party.age_at_start < LEASE + DRIFT + self.max_deadline;
                }
            }
        }
        match pool.unknown {
            Some(busy) if missing || young => u32::from(busy),
            None if missing || young => u32::from(pool.slots),
            _ => 0,
        }
    }

    /// Answers a report, unless it is outdated or for another region.
    pub fn grant(&mut self, report: &Report, now: Instant) -> Option<Grant> {
        if report.region != self.region {
            return None;
        }
        self.expire(now);
        let key = (report.instance, report.boot);
        let elapsed = now.duration_since(self.started);
        let party = self.parties.entry(key).or_insert_with(|| Party {
            number: 0,
            sequence: 0,
            joined: false,
            age_at_start: Duration::from_millis(report.age_ms).saturating_sub(elapsed),
            lease_end: now,
            rows: IndexMap::new(),
        });
        if report.number <= party.number {
            return None;
        }
        party.number = report.number;
        let was_joined = party.joined;
        party.joined |= report.term == self.term && report.applied > 0;
        let applied = if report.term == self.term {
            report.applied
        } else {
            0
        };
        for row in party.rows.values_mut() {
            row.want = 0;
        }
        for next in &report.rows {
            let row = party.rows.entry(next.upstream.clone()).or_default();
            row.want = next.want;
            // A report that was sent before its sender's lease ended may claim slots that were given to
            // others since; only the recorded charge counts.
            row.confirmed = if was_joined {
                next.held.min(row.charge())
            } else {
                next.held
            };
            row.pending.retain(|(sequence, _)| *sequence > applied);
        }
        for (name, row) in &mut party.rows {
            if !report.rows.iter().any(|next| next.upstream == *name) {
                row.confirmed = 0;
                row.pending.retain(|(sequence, _)| *sequence > applied);
            }
        }
        let joined = party.joined;
        self.retarget(now);
        let renew_only = !planted(Fault::GrantAtOnce) && (!joined || elapsed < LEASE + DRIFT);
        Some(self.issue(key, report, renew_only, now))
    }

    fn issue(&mut self, key: (u64, u64), report: &Report, renew_only: bool, now: Instant) -> Grant {
        let mut shares = Vec::new();
        let mut slots_by_name = Vec::with_capacity(self.pools.len());
        for (name, pool) in &self.pools {
            let row = self
                .parties
                .get(&key)
                .and_then(|party| party.rows.get(name));
            let (confirmed, charge) = row.map_or((0, 0), |row| (row.confirmed, row.charge()));
            let target = pool.targets.get(&key).copied().unwrap_or(0);
            let slots = if renew_only {
                // A late report may claim slots that others were given since.
                let others = self.charged(name).saturating_sub(u32::from(charge));
                let left = u32::from(pool.slots).saturating_sub(others);
                confirmed.min(left.min(u32::from(u16::MAX)) as u16)
            } else {
                let used = self.charged(name) + self.unknown(pool, now);
                let free = u32::from(pool.slots).saturating_sub(used);
                target.min(charge.saturating_add(free.min(u32::from(u16::MAX)) as u16))
            };
            slots_by_name.push((name.clone(), slots));
            if slots > 0 {
                shares.push(Share {
                    upstream: name.clone(),
                    slots,
                });
            }
        }
        let mut sequence = 1;
        if let Some(party) = self.parties.get_mut(&key) {
            party.sequence += 1;
            party.lease_end = now + LEASE + DRIFT;
            sequence = party.sequence;
            for (name, slots) in slots_by_name {
                let row = party.rows.entry(name).or_default();
                if slots > 0 {
                    row.pending.push((sequence, slots));
                }
            }
            party.rows.retain(|_, row| row.charge() > 0 || row.want > 0);
        }
        Grant {
            region: self.region.clone(),
            instance: key.0,
            boot: key.1,
            term: self.term,
            sequence,
            report: report.number,
            lease_ms: LEASE.as_millis() as u64,
            shares,
        }
    }

    /// Divides the slots of each upstream by demand among the processes whose lease runs.
    fn retarget(&mut self, now: Instant) {
        for (name, pool) in &mut self.pools {
            let wants: Vec<((u64, u64), u32)> = self
                .parties
                .iter()
                .filter(|(_, party)| now <= party.lease_end)
                .filter_map(|(key, party)| Some((*key, party.rows.get(name)?.want)))
                .filter(|(_, want)| *want > 0)
                .collect();
            divide(pool, name, wants);
        }
    }
}

/// Sets the targets of one upstream in proportion to the wants.
///
/// Targets that are within one slot of the exact proportion are kept: each change idles slots for a report
/// interval. New targets are rounded along the cumulated wants from a start that differs per upstream, so
/// that over all upstreams each process gets its proportion.
fn divide(pool: &mut Pool, name: &str, mut wants: Vec<((u64, u64), u32)>) {
    wants.sort_unstable();
    let total: f64 = wants.iter().map(|(_, want)| f64::from(*want)).sum();
    let slots = f64::from(pool.slots);
    let kept: u32 = pool.targets.values().map(|target| u32::from(*target)).sum();
    let close = wants.iter().all(|(key, want)| {
        let target = pool.targets.get(key).copied().map_or(0.0, f64::from);
        (target - slots * f64::from(*want) / total).abs() < 1.0
    });
    if close && kept == u32::from(pool.slots) && pool.targets.len() == wants.len() {
        return;
    }
    pool.targets.clear();
    let phase = name.bytes().fold(0.0, |phase: f64, byte| {
        (phase * 31.0 + f64::from(byte) * 0.618_034).fract()
    });
    let mut sum = 0.0;
    let mut before = 0.0;
    for (key, want) in wants {
        sum += f64::from(want);
        let edge = (slots * (sum / total) + phase).floor();
        pool.targets.insert(key, (edge - before).max(0.0) as u16);
        before = edge;
    }
}
