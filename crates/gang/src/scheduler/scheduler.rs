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

/// Account, class and requirements that identify a queue.
type QueueId = (u32, Class, Requirements);

/// Scheduler of the jobs of one group.
///
/// A new leader rebuilds it from the configuration, the jobs and the announcements of the workers.
/// Fair shares, run time histories and quarantines are not replicated and start empty.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) config: Config,
    pub(crate) fleet: Fleet,
    /// Capacity of all known workers minus the allocations of all jobs.
    pub(crate) free_capacity: Capacity,
    pub(crate) jobs: BTreeMap<u64, Record>,
    pub(crate) queue: Queue,
    pub(crate) account_names: IndexSet<String>,
    pub(crate) usages: Vec<Usage>,
    /// An instant and the wall clock time at it, in milliseconds since the Unix epoch.
    pub(crate) wall_clock: Option<(Instant, u64)>,
    /// Instant up to which accelerator time was charged to the accounts.
    pub(crate) charged_until: Option<Instant>,
    /// Bookings and reservations by job.
    pub(crate) bookings: BTreeMap<u64, Booking>,
    /// Pinned work; `None` if it must be collected again.
    pub(crate) pinned: Option<Pinned>,
    pub(crate) proof: Proof,
    /// Shortfalls as last proposed in [`Decision::ShortfallsChanged`](crate::Decision::ShortfallsChanged).
    pub(crate) reported_shortfalls: Vec<Shortfall>,
    /// Recent failures by machine.
    pub(crate) failures: Vec<Failures>,
    /// Incremented whenever a queued job that did not fit might fit now.
    pub(crate) epoch: u64,
    /// Queues whose first job did not fit, with the epoch of the attempt.
    pub(crate) unplaceable: HashMap<QueueId, u64>,
    /// Whether running jobs must be checked against the permitted places again.
    pub(crate) recheck_places: bool,
    /// Whether anything changed since the last call of `decide` that proposed nothing.
    pub(crate) dirty: bool,
    /// When reservations were last searched for.
    pub(crate) reserved_at: Option<Instant>,
    /// When compaction last moved a job.
    pub(crate) compacted_at: Option<Instant>,
    /// When compaction was last attempted.
    pub(crate) compaction_checked_at: Option<Instant>,
    /// When health was last checked; `None` if it must be checked in the next cycle.
    pub(crate) health_checked_at: Option<Instant>,
    #[cfg(feature = "faults")]
    injected_fault: Option<Fault>,
}

impl Scheduler {
    /// Creates a scheduler without workers, jobs or accounts.
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

    /// Makes the scheduler break one rule, to test the oracle.
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

    /// Checks that every guarantee of `config` can be met on the workers in service beside pinned work.
    /// The error lists the shortfalls that `config` would add. An existing shortfall of an unchanged
    /// guarantee is not an error.
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

    /// Guarantees that could not be met, as of the last call of `decide`.
    pub fn shortfalls(&self) -> &[Shortfall] {
        &self.reported_shortfalls
    }

    /// One placement for each guaranteed gang that fits, as of the last call of `decide`. They are
    /// disjoint and so prove that all guarantees can be claimed at once.
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

    /// Reservations: job, time of the reservation, and reserved accelerators by task. Preemptible jobs
    /// may be backfilled there until the gang can start.
    pub fn reservations(&self) -> Vec<(u64, Instant, Vec<Member>)> {
        let reservations = self
            .bookings
            .iter()
            .filter(|(_, booking)| booking.is_reservation());
        reservations
            .map(|(job, booking)| (*job, booking.since, self.members(&booking.allocations)))
            .collect()
    }

    /// Checks that some known worker, rack or data centre in the permitted places could hold the job if
    /// nothing else ran. The error is for the user.
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

    /// For each data centre, whether a job of `account` that names `place` may run there.
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

    /// Free capacity on workers in service, minus all bookings except reservations.
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

    /// Tells whether new gangs may be placed on `machine`.
    fn may_use(&self, machine: &Machine) -> bool {
        machine.in_service() || self.has_fault(Fault::UseOutOfService)
    }

    /// Recomputes `free_capacity` after the capacity of a worker changed.
    pub(crate) fn rebuild_free_capacity(&mut self) {
        self.free_capacity = self.fleet.total_capacity(|machine| machine.known);
        for record in self.jobs.values() {
            for allocation in &record.allocations {
                self.free_capacity.hold(allocation);
            }
        }
    }

    /// Returns the index of a worker; an unknown name is added.
    pub(crate) fn intern(&mut self, worker: &str) -> u32 {
        let index = self.fleet.intern(worker);
        let count = self.fleet.machines().len();
        self.free_capacity.0.resize(count, Default::default());
        self.failures.resize(count, Default::default());
        index
    }

    /// Allocates `allocations` to a job, which must hold none.
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

    /// Frees the allocations of a job.
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

    /// Converts allocations to the members of an attempt.
    pub(crate) fn members(&self, allocations: &[Allocation]) -> Vec<Member> {
        let member = |(task, allocation): (usize, &Allocation)| Member {
            task: task as u16,
            worker: self.fleet.machine(allocation.machine).worker.name.clone(),
            accelerators: allocation.mask.indices(),
        };
        allocations.iter().enumerate().map(member).collect()
    }

    /// Wall clock time at `now`, in milliseconds since the Unix epoch; `None` before the first event
    /// that carries one.
    pub(crate) fn wall_at(&self, now: Instant) -> Option<u64> {
        let (at, wall) = self.wall_clock?;
        Some(wall + now.saturating_duration_since(at).as_millis() as u64)
    }
}
