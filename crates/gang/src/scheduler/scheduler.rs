use {
    super::Failures,
    crate::{
        Settings, Shortfall,
        fault::Fault,
        fleet::{Allocation, Capacity, Fleet, Machine},
        proof::{GuaranteedPlacement, Pinned, Proof},
        reclaim::Booking,
        record::{Phase, Queue, Record, Requirements, Usage},
    },
    indexmap::IndexSet,
    model::{
        account::Account,
        config::Config,
        job::{Class, Member, Spec},
        place::{Place, Site},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Instant,
    },
};

/// Account, class and ask of jobs that were tried.
type QueueId = (u32, Class, Requirements);

/// Decides which job of a group runs where.
///
/// Everything can be rebuilt by a new leader from the configuration, all jobs and the announcements
/// of the workers; shares served so far, histories and quarantines start afresh.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) config: Config,
    pub(crate) fleet: Fleet,
    /// Capacity of all known workers without everything held.
    pub(crate) free_capacity: Capacity,
    pub(crate) jobs: BTreeMap<u64, Record>,
    pub(crate) queue: Queue,
    pub(crate) account_names: IndexSet<String>,
    pub(crate) usages: Vec<Usage>,
    /// An instant and the wall time that belongs to it.
    pub(crate) wall_clock: Option<(Instant, u64)>,
    /// Last instant up to which shares were served.
    pub(crate) charged_until: Option<Instant>,
    /// Places kept for jobs whose holders were asked to stop or are waited for.
    pub(crate) bookings: BTreeMap<u64, Booking>,
    /// Work that cannot be taken back; none when it must be collected again.
    pub(crate) pinned: Option<Pinned>,
    pub(crate) proof: Proof,
    /// What was last reported as owed.
    pub(crate) reported_shortfalls: Vec<Shortfall>,
    /// Failed jobs by machine.
    pub(crate) failures: Vec<Failures>,
    /// Grows whenever a queued job that did not fit might fit now.
    pub(crate) epoch: u64,
    /// Asks that did not fit, with the epoch in which they were tried.
    pub(crate) unplaceable: HashMap<QueueId, u64>,
    /// Whether held work must be compared with the permitted places again.
    pub(crate) recheck_places: bool,
    /// Whether anything happened since the last call of `decide` that found nothing to do.
    pub(crate) dirty: bool,
    /// When reservations were last planned.
    pub(crate) reserved_at: Option<Instant>,
    /// When work was last moved by compaction.
    pub(crate) compacted_at: Option<Instant>,
    /// When compaction was last considered.
    pub(crate) compaction_checked_at: Option<Instant>,
    /// When running jobs were last judged.
    pub(crate) health_checked_at: Option<Instant>,
    #[cfg(feature = "faults")]
    injected_fault: Option<Fault>,
}

impl Scheduler {
    /// A scheduler that knows no worker, job or account.
    pub fn new(settings: Settings) -> Scheduler {
        Scheduler {
            settings,
            config: Config::default(),
            fleet: Fleet::default(),
            free_capacity: Capacity::default(),
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            account_names: IndexSet::new(),
            usages: Vec::new(),
            wall_clock: None,
            charged_until: None,
            bookings: BTreeMap::new(),
            pinned: None,
            proof: Proof::default(),
            reported_shortfalls: Vec::new(),
            failures: Vec::new(),
            epoch: 0,
            unplaceable: HashMap::new(),
            recheck_places: false,
            dirty: true,
            reserved_at: None,
            compacted_at: None,
            compaction_checked_at: None,
            health_checked_at: None,
            #[cfg(feature = "faults")]
            injected_fault: None,
        }
    }

    /// Breaks one rule on purpose; for tests of the oracle.
    #[cfg(feature = "faults")]
    pub fn inject(&mut self, fault: Fault) {
        self.injected_fault = Some(fault);
    }

    #[cfg(feature = "faults")]
    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        self.injected_fault == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    pub(crate) fn has_fault(&self, _: Fault) -> bool {
        false
    }

    /// Tells whether every guarantee of `config` can be proved on the workers in service beside the
    /// work that cannot be stopped. Returns what a note with this result would add to what is owed
    /// already; guarantees that are owed under the present configuration are not held against it.
    pub fn check(&self, config: &Config) -> Result<(), Vec<Shortfall>> {
        let previous = self.proof.remap(&self.config, config);
        let pinned = self.collect_pinned(config);
        let proof = self.prover(config).prove(&pinned, &previous);
        let now = self
            .prover(&self.config)
            .prove(&self.collect_pinned(&self.config), &self.proof);
        let known = |next: &Shortfall| {
            let same = |last: &&Shortfall| {
                (&last.account, &last.guarantee) == (&next.account, &next.guarantee)
            };
            let guarantee = |config: &Config| {
                let account = config.accounts.get(&next.account)?;
                account.guarantees.get(&next.guarantee).cloned()
            };
            let missing: u16 = now
                .shortfalls
                .iter()
                .filter(same)
                .map(|last| last.missing)
                .sum();
            missing >= next.missing && guarantee(config) == guarantee(&self.config)
        };
        let new: Vec<_> = proof
            .shortfalls
            .into_iter()
            .filter(|next| !known(next))
            .collect();
        if new.is_empty() { Ok(()) } else { Err(new) }
    }

    /// Guarantees that could not be proved at the last decision.
    pub fn shortfalls(&self) -> &[Shortfall] {
        &self.reported_shortfalls
    }

    /// The proof as of the last decision: one place for each guaranteed gang that fits.
    pub fn guaranteed_placements(&self) -> Vec<GuaranteedPlacement> {
        let proved = |placement: &crate::proof::Placement| {
            let (account, entry) = self
                .config
                .accounts
                .get_index(placement.guarantee_id.0 as usize)?;
            let (guarantee, _) = entry
                .guarantees
                .get_index(placement.guarantee_id.1 as usize)?;
            Some(GuaranteedPlacement {
                account: account.clone(),
                guarantee: guarantee.clone(),
                job: placement.job,
                members: self.members(&placement.allocations),
            })
        };
        self.proof.placements.iter().filter_map(proved).collect()
    }

    /// Places reserved for starving gangs, by job, with the time of the reservation. Stoppable work
    /// may run there until the gang can start.
    pub fn reservations(&self) -> Vec<(u64, Instant, Vec<Member>)> {
        let reservations = self
            .bookings
            .iter()
            .filter(|(_, booking)| booking.is_reservation());
        reservations
            .map(|(job, booking)| (*job, booking.since, self.members(&booking.allocations)))
            .collect()
    }

    /// Tells whether some known worker, rack or data centre in the permitted places could hold the
    /// job if nothing else ran; the reason is for the caller.
    pub fn can_run(&self, spec: &Spec) -> Result<(), String> {
        if !self.config.accounts.contains_key(&spec.account) {
            return Err(format!(
                "client account `{}` is not in the configuration",
                spec.account
            ));
        };
        self.can_hold(
            &self.centres(&spec.account, spec.place.as_ref()),
            &spec.shape,
        )
    }

    /// Data centres in which a job of `account` that names `place` may run.
    pub(crate) fn centres(&self, account: &str, place: Option<&Place>) -> Vec<bool> {
        let home = self.config.homes.get(account);
        let wanted = |site: &Site| match (place, home) {
            (Some(place), _) => place.contains(site),
            (None, Some(home)) => *home == site.region,
            (None, None) => true,
        };
        match self.config.accounts.get(account) {
            Some(account) => self.fleet.permitted(account, wanted),
            None => Vec::new(),
        }
    }

    pub(crate) fn account(&self, index: u32) -> Option<&Account> {
        self.config
            .accounts
            .get(self.account_names.get_index(index as usize)?)
    }

    /// Free room on workers in service, without places kept for claims.
    pub(crate) fn available(&self) -> Capacity {
        let mut capacity = self.free_capacity.clone();
        for (resources, machine) in capacity.0.iter_mut().zip(self.fleet.machines()) {
            resources.schedulable = machine.known && self.may_use(machine);
            if !resources.schedulable {
                *resources = Default::default();
            }
        }
        for booking in self
            .bookings
            .values()
            .filter(|booking| !booking.is_reservation())
        {
            booking
                .allocations
                .iter()
                .for_each(|allocation| capacity.hold(allocation));
        }
        capacity
    }

    fn may_use(&self, machine: &Machine) -> bool {
        machine.in_service() || self.has_fault(Fault::UseOutOfService)
    }

    /// Builds `room` again after the capacity of a worker changed.
    pub(crate) fn rebuild_free_capacity(&mut self) {
        self.free_capacity = self.fleet.total_capacity(|machine| machine.known);
        for record in self.jobs.values() {
            for allocation in &record.allocations {
                self.free_capacity.hold(allocation);
            }
        }
    }

    /// Index of a worker by name; a worker never seen is added.
    pub(crate) fn intern(&mut self, worker: &str) -> u32 {
        let index = self.fleet.intern(worker);
        let count = self.fleet.machines().len();
        self.free_capacity.0.resize(count, Default::default());
        self.failures.resize(count, Default::default());
        index
    }

    /// Gives `parts` to a job, which held nothing.
    pub(crate) fn hold(
        &mut self,
        id: u64,
        allocations: Vec<Allocation>,
        phase: Phase,
        now: Instant,
    ) {
        if let Some(record) = self.jobs.get_mut(&id) {
            for allocation in &allocations {
                self.free_capacity.hold(allocation);
            }
            self.usages[record.account as usize].held += record.accelerators();
            record.allocations = allocations;
            record.phase = phase;
            record.placed_at = Some(now);
        }
    }

    /// Takes back what a job holds.
    pub(crate) fn release(&mut self, id: u64) {
        if let Some(record) = self.jobs.get_mut(&id) {
            if record.allocations.is_empty() {
                return;
            }
            for allocation in record.allocations.drain(..) {
                self.free_capacity.free(&allocation);
            }
            self.usages[record.account as usize].held -= record.accelerators();
            self.epoch += 1;
            self.pinned = None;
            record.guarantee = None;
            record.placed_at = None;
            record.running_since = None;
            record.since_checkpoint = 0;
        }
    }

    /// The parts as the controller wants them.
    pub(crate) fn members(&self, allocations: &[Allocation]) -> Vec<Member> {
        let member = |(task, allocation): (usize, &Allocation)| Member {
            task: task as u16,
            worker: self.fleet.machine(allocation.machine).worker.name.clone(),
            accelerators: allocation.mask.indices(),
        };
        allocations.iter().enumerate().map(member).collect()
    }

    /// Wall time at `now`, in milliseconds; none before the first event that carries one.
    pub(crate) fn wall_at(&self, now: Instant) -> Option<u64> {
        let (at, wall) = self.wall_clock?;
        Some(wall + now.saturating_duration_since(at).as_millis() as u64)
    }
}
