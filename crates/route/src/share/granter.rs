use {
    super::{DRIFT, Grant, LEASE, Report, Share, report::RETIRED},
    crate::faults::{Fault, injected},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Longest time between the count of busy slots in an announcement and the arrival of that announcement.
const BUSY_MARGIN: Duration = Duration::from_secs(1);

/// Capacity of an upstream, as the granter of its region knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Name of the upstream.
    pub upstream: String,
    /// Requests that it can run at once, as it announced.
    pub slots: u16,
    /// Slots that were running a request at its last announcement; none if it does not report them.
    pub busy: Option<u16>,
    /// Age of that announcement.
    pub age: Duration,
}

#[derive(Debug, Default)]
struct Upstream {
    slots: u16,
    /// Fewest busy slots reported since the leases of the previous leader ended. Processes that this leader
    /// doesn't know use no more than these.
    least_busy: Option<u16>,
    /// Slots intended for each process (instance and boot number), by demand.
    targets: IndexMap<(u64, u64), u16>,
}

/// Slots of one upstream that one process uses or may use.
#[derive(Debug, Default)]
struct Allocation {
    /// Slots held according to its last report, or busy according to an announcement after its lease.
    confirmed: u16,
    /// Sequence number and slots of the grants that no report has confirmed yet.
    unconfirmed: Vec<(u64, u16)>,
    /// Demand in hundredths of a slot.
    want: u32,
}

impl Allocation {
    /// The most slots that the process may use.
    fn charge(&self) -> u16 {
        self.unconfirmed
            .iter()
            .map(|(_, slots)| *slots)
            .fold(self.confirmed, u16::max)
    }
}

/// A process that holds or held shares.
#[derive(Debug)]
struct Process {
    last_report: u64,
    last_grant: u64,
    /// Whether it applied a grant of this term; from then on it ignores grants of earlier terms.
    in_term: bool,
    /// Age of the process when this granter was elected.
    age_at_start: Duration,
    lease_end: Instant,
    allocations: IndexMap<String, Allocation>,
}

/// Grants shares of the slots of one region's upstreams; run by the region leader.
///
/// For each upstream, the sum of the charges of all processes never exceeds the slots. The charge of a process
/// is the highest number of slots that it may use: what it reported, or any later grant that it has not yet
/// confirmed.
#[derive(Debug)]
pub struct Granter {
    region: String,
    term: u64,
    started: Instant,
    max_deadline: Duration,
    instances: Vec<u64>,
    upstreams: IndexMap<String, Upstream>,
    processes: IndexMap<(u64, u64), Process>,
}

impl Granter {
    /// Returns the granter of a leader that is elected in `term` at `now`. `instances` are all instances that
    /// may hold shares, and `max_deadline` is the longest time that a request may run.
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
            // The clock of an upstream may run up to 5% slower than that of the leader.
            max_deadline: max_deadline + max_deadline / 20,
            instances: instances.to_vec(),
            upstreams: IndexMap::new(),
            processes: IndexMap::new(),
        }
    }

    /// The term in which this granter was elected.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces the capacities of the upstreams; those that are not listed have no slots to grant.
    pub fn set_capacities(&mut self, capacities: impl IntoIterator<Item = Capacity>, now: Instant) {
        for upstream in self.upstreams.values_mut() {
            upstream.slots = 0;
        }
        for capacity in capacities {
            let upstream = self.upstreams.entry(capacity.upstream.clone()).or_default();
            upstream.slots = capacity.slots;
            let Some(busy) = capacity.busy else {
                continue;
            };
            let Some(measured) = now.checked_sub(capacity.age + BUSY_MARGIN) else {
                continue;
            };
            if measured >= self.started + LEASE + DRIFT {
                upstream.least_busy =
                    Some(upstream.least_busy.map_or(busy, |least| least.min(busy)));
            }
            for process in self.processes.values_mut() {
                if let (true, Some(allocation)) = (
                    measured >= process.lease_end,
                    process.allocations.get_mut(&capacity.upstream),
                ) {
                    allocation.confirmed = allocation.charge().min(busy);
                    allocation.unconfirmed.clear();
                }
            }
        }
        self.expire(now);
    }

    /// Removes processes whose lease ended longer ago than a request may run, and upstreams without slots that
    /// no process uses.
    fn expire(&mut self, now: Instant) {
        let bound = if injected(Fault::EarlyReturn) {
            // The slots become free while the lease runs and requests may be in flight.
            Duration::ZERO
        } else {
            self.max_deadline
        };
        self.processes.retain(|_, process| {
            let end = if injected(Fault::EarlyReturn) {
                process.lease_end - LEASE / 2
            } else {
                process.lease_end
            };
            now < end + bound
        });
        let processes = &self.processes;
        self.upstreams.retain(|name, upstream| {
            upstream.slots > 0
                || processes
                    .values()
                    .any(|process| process.allocations.contains_key(name))
        });
    }

    /// Slots of `upstream` that all known processes together may use.
    pub fn charged(&self, upstream: &str) -> u32 {
        self.processes
            .values()
            .filter_map(|process| process.allocations.get(upstream))
            .map(|allocation| u32::from(allocation.charge()))
            .sum()
    }

    /// Slots that processes which this leader doesn't know may still use.
    fn unattributed(&self, upstream: &Upstream, now: Instant) -> u32 {
        let elapsed = now.duration_since(self.started);
        if injected(Fault::GrantAtOnce) || elapsed >= LEASE + DRIFT + self.max_deadline {
            return 0;
        }
        if elapsed < LEASE + DRIFT {
            return u32::from(upstream.slots);
        }
        let mut absent = false;
        let mut recent = false;
        for instance in &self.instances {
            let process = self
                .processes
                .iter()
                .find(|((id, _), process)| id == instance && process.in_term);
            match process {
                None => absent = true,
                // Requests of an earlier process of this instance may still run.
                Some((_, process)) => {
                    recent |= process.age_at_start < LEASE + DRIFT + self.max_deadline;
                }
            }
        }
        match upstream.least_busy {
            Some(busy) if absent || recent => u32::from(busy),
            None if absent || recent => u32::from(upstream.slots),
            _ => 0,
        }
    }

    /// Returns the grant that answers a report, or none if the report is outdated or for another region.
    pub fn grant(&mut self, report: &Report, now: Instant) -> Option<Grant> {
        if report.region != self.region {
            return None;
        }
        self.expire(now);
        let key = (report.instance, report.boot);
        let elapsed = now.duration_since(self.started);
        let process = self.processes.entry(key).or_insert_with(|| Process {
            last_report: 0,
            last_grant: 0,
            in_term: false,
            age_at_start: Duration::from_millis(report.age_ms).saturating_sub(elapsed),
            lease_end: now,
            allocations: IndexMap::new(),
        });
        if report.number <= process.last_report {
            return None;
        }
        process.last_report = report.number;
        let was_in_term = process.in_term;
        let applied = if report.term == self.term || report.applied == RETIRED {
            report.applied
        } else {
            0
        };
        process.in_term |= applied > 0;
        for allocation in process.allocations.values_mut() {
            allocation.want = 0;
        }
        for reported in &report.rows {
            let allocation = process
                .allocations
                .entry(reported.upstream.clone())
                .or_default();
            allocation.want = reported.want;
            // A report from before the end of its sender's lease may claim slots that have been granted to
            // others since. It is limited to the recorded charge.
            allocation.confirmed = if was_in_term {
                reported.held.min(allocation.charge())
            } else {
                reported.held
            };
            allocation
                .unconfirmed
                .retain(|(sequence, _)| *sequence > applied);
        }
        for (name, allocation) in &mut process.allocations {
            if !report
                .rows
                .iter()
                .any(|reported| reported.upstream == *name)
            {
                allocation.confirmed = 0;
                allocation
                    .unconfirmed
                    .retain(|(sequence, _)| *sequence > applied);
            }
        }
        let in_term = process.in_term;
        self.update_targets(now);
        let renew_only = !injected(Fault::GrantAtOnce) && (!in_term || elapsed < LEASE + DRIFT);
        Some(self.issue(key, report, renew_only, now))
    }

    /// Issues the next grant to a process. If `renew_only`, it contains no more slots than the process
    /// confirmed.
    fn issue(&mut self, key: (u64, u64), report: &Report, renew_only: bool, now: Instant) -> Grant {
        let mut shares = Vec::new();
        let mut slots_by_name = Vec::with_capacity(self.upstreams.len());
        for (name, upstream) in &self.upstreams {
            let allocation = self
                .processes
                .get(&key)
                .and_then(|process| process.allocations.get(name));
            let (confirmed, charge) = allocation.map_or((0, 0), |allocation| {
                (allocation.confirmed, allocation.charge())
            });
            let target = upstream.targets.get(&key).copied().unwrap_or(0);
            let slots = if renew_only {
                // A late report may claim slots that have been granted to others since.
                let others = self.charged(name).saturating_sub(u32::from(charge));
                let left = u32::from(upstream.slots).saturating_sub(others);
                confirmed.min(left.min(u32::from(u16::MAX)) as u16)
            } else {
                let used = self.charged(name) + self.unattributed(upstream, now);
                let free = u32::from(upstream.slots).saturating_sub(used);
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
        if let Some(process) = self.processes.get_mut(&key) {
            process.last_grant += 1;
            process.lease_end = now + LEASE + DRIFT;
            sequence = process.last_grant;
            for (name, slots) in slots_by_name {
                let allocation = process.allocations.entry(name).or_default();
                if slots > 0 {
                    allocation.unconfirmed.push((sequence, slots));
                }
            }
            process
                .allocations
                .retain(|_, allocation| allocation.charge() > 0 || allocation.want > 0);
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
    fn update_targets(&mut self, now: Instant) {
        for (name, upstream) in &mut self.upstreams {
            let demands: Vec<((u64, u64), u32)> = self
                .processes
                .iter()
                .filter(|(_, process)| now <= process.lease_end)
                .filter_map(|(key, process)| Some((*key, process.allocations.get(name)?.want)))
                .filter(|(_, want)| *want > 0)
                .collect();
            set_targets(upstream, name, demands);
        }
    }
}

/// Sets the targets of one upstream in proportion to the demands.
///
/// Targets within one slot of the exact proportion are kept, as each change leaves slots idle for a report
/// interval. New targets are the differences of the rounded cumulative demands, with an offset that depends on
/// the name of the upstream, so that over all upstreams each process gets its proportion.
fn set_targets(upstream: &mut Upstream, name: &str, mut demands: Vec<((u64, u64), u32)>) {
    demands.sort_unstable();
    let total: f64 = demands.iter().map(|(_, want)| f64::from(*want)).sum();
    let slots = f64::from(upstream.slots);
    let target_sum: u32 = upstream
        .targets
        .values()
        .map(|target| u32::from(*target))
        .sum();
    let near_target = demands.iter().all(|(key, want)| {
        let target = upstream.targets.get(key).copied().map_or(0.0, f64::from);
        (target - slots * f64::from(*want) / total).abs() < 1.0
    });
    if near_target
        && target_sum == u32::from(upstream.slots)
        && upstream.targets.len() == demands.len()
    {
        return;
    }
    upstream.targets.clear();
    let offset = name.bytes().fold(0.0, |offset: f64, byte| {
        (offset * 31.0 + f64::from(byte) * 0.618_034).fract()
    });
    let mut sum = 0.0;
    let mut start = 0.0;
    for (key, want) in demands {
        sum += f64::from(want);
        let end = (slots * (sum / total) + offset).floor();
        upstream.targets.insert(key, (end - start).max(0.0) as u16);
        start = end;
    }
}
