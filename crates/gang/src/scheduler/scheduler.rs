use {
    super::Failures,
    crate::{
        Settings, Shortfall,
        fault::Fault,
        fleet::{Fleet, Machine, Part, Room},
        proof::{Firm, GuaranteedPlacement, Proof},
        reclaim::Booking,
        record::{Ask, Ledger, Phase, Queue, Record},
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
type Tried = (u32, Class, Ask);

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
    pub(crate) room: Room,
    pub(crate) jobs: BTreeMap<u64, Record>,
    pub(crate) queue: Queue,
    pub(crate) names: IndexSet<String>,
    pub(crate) ledgers: Vec<Ledger>,
    /// An instant and the wall time that belongs to it.
    pub(crate) wall: Option<(Instant, u64)>,
    /// Last instant up to which shares were served.
    pub(crate) served: Option<Instant>,
    /// Places kept for jobs whose holders were asked to stop or are waited for.
    pub(crate) bookings: BTreeMap<u64, Booking>,
    /// Work that cannot be taken back; none when it must be collected again.
    pub(crate) firm: Option<Firm>,
    pub(crate) proof: Proof,
    /// What was last reported as owed.
    pub(crate) told: Vec<Shortfall>,
    /// Failed jobs by machine.
    pub(crate) failures: Vec<Failures>,
    /// Grows whenever a queued job that did not fit might fit now.
    pub(crate) epoch: u64,
    /// Asks that did not fit, with the epoch in which they were tried.
    pub(crate) tried: HashMap<Tried, u64>,
    /// Whether held work must be compared with the permitted places again.
    pub(crate) recheck: bool,
    /// Whether anything happened since the last call of `decide` that found nothing to do.
    pub(crate) stirred: bool,
    /// When reservations were last planned.
    pub(crate) reserved: Option<Instant>,
    /// When work was last moved by compaction.
    pub(crate) compacted: Option<Instant>,
    /// When compaction was last considered.
    pub(crate) considered: Option<Instant>,
    /// When running jobs were last judged.
    pub(crate) judged: Option<Instant>,
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
            room: Room::default(),
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            names: IndexSet::new(),
            ledgers: Vec::new(),
            wall: None,
            served: None,
            bookings: BTreeMap::new(),
            firm: None,
            proof: Proof::default(),
            told: Vec::new(),
            failures: Vec::new(),
            epoch: 0,
            tried: HashMap::new(),
            recheck: false,
            stirred: true,
            reserved: None,
            compacted: None,
            considered: None,
            judged: None,
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
        let firm = self.collect(config);
        let proof = self.prover(config).prove(&firm, &previous);
        let now = self
            .prover(&self.config)
            .prove(&self.collect(&self.config), &self.proof);
        let known = |next: &Shortfall| {
            let same = |last: &&Shortfall| {
                (&last.account, &last.guarantee) == (&next.account, &next.guarantee)
            };
            let guarantee = |config: &Config| {
                let account = config.accounts.get(&next.account)?;
                account.guarantees.get(&next.guarantee).cloned()
            };
            let missing: u16 = now
                .missing
                .iter()
                .filter(same)
                .map(|last| last.missing)
                .sum();
            missing >= next.missing && guarantee(config) == guarantee(&self.config)
        };
        let new: Vec<_> = proof
            .missing
            .into_iter()
            .filter(|next| !known(next))
            .collect();
        if new.is_empty() { Ok(()) } else { Err(new) }
    }

    /// Guarantees that could not be proved at the last decision.
    pub fn shortfalls(&self) -> &[Shortfall] {
        &self.told
    }

    /// The proof as of the last decision: one place for each guaranteed gang that fits.
    pub fn guaranteed_placements(&self) -> Vec<GuaranteedPlacement> {
        let proved = |set: &crate::proof::Set| {
            let (account, entry) = self.config.accounts.get_index(set.slot.0 as usize)?;
            let (guarantee, _) = entry.guarantees.get_index(set.slot.1 as usize)?;
            Some(GuaranteedPlacement {
                account: account.clone(),
                guarantee: guarantee.clone(),
                job: set.job,
                members: self.members(&set.parts),
            })
        };
        self.proof.sets.iter().filter_map(proved).collect()
    }

    /// Places reserved for starving gangs, by job, with the time of the reservation. Stoppable work
    /// may run there until the gang can start.
    pub fn reservations(&self) -> Vec<(u64, Instant, Vec<Member>)> {
        let soft = self
            .bookings
            .iter()
            .filter(|(_, booking)| booking.is_soft());
        soft.map(|(job, booking)| (*job, booking.since, self.members(&booking.parts)))
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
            .get(self.names.get_index(index as usize)?)
    }

    /// Free room on workers in service, without places kept for claims.
    pub(crate) fn view(&self) -> Room {
        let mut room = self.room.clone();
        for (space, machine) in room.0.iter_mut().zip(self.fleet.machines()) {
            space.open = machine.known && self.may_use(machine);
            if !space.open {
                *space = Default::default();
            }
        }
        for booking in self.bookings.values().filter(|booking| !booking.is_soft()) {
            booking.parts.iter().for_each(|part| room.hold(part));
        }
        room
    }

    fn may_use(&self, machine: &Machine) -> bool {
        machine.in_service() || self.has_fault(Fault::UseOutOfService)
    }

    /// Builds `room` again after the capacity of a worker changed.
    pub(crate) fn rebuild_room(&mut self) {
        self.room = self.fleet.empty_room(|machine| machine.known);
        for record in self.jobs.values() {
            for part in &record.parts {
                self.room.hold(part);
            }
        }
    }

    /// Index of a worker by name; a worker never seen is added.
    pub(crate) fn intern(&mut self, worker: &str) -> u32 {
        let index = self.fleet.intern(worker);
        let count = self.fleet.machines().len();
        self.room.0.resize(count, Default::default());
        self.failures.resize(count, Default::default());
        index
    }

    /// Gives `parts` to a job, which held nothing.
    pub(crate) fn hold(&mut self, id: u64, parts: Vec<Part>, phase: Phase, now: Instant) {
        if let Some(record) = self.jobs.get_mut(&id) {
            for part in &parts {
                self.room.hold(part);
            }
            self.ledgers[record.account as usize].held += record.accelerators();
            record.parts = parts;
            record.phase = phase;
            record.placed = Some(now);
        }
    }

    /// Takes back what a job holds.
    pub(crate) fn release(&mut self, id: u64) {
        if let Some(record) = self.jobs.get_mut(&id) {
            if record.parts.is_empty() {
                return;
            }
            for part in record.parts.drain(..) {
                self.room.free(&part);
            }
            self.ledgers[record.account as usize].held -= record.accelerators();
            self.epoch += 1;
            self.firm = None;
            record.guarantee = None;
            record.placed = None;
            record.running = None;
            record.since_checkpoint = 0;
        }
    }

    /// The parts as the controller wants them.
    pub(crate) fn members(&self, parts: &[Part]) -> Vec<Member> {
        let member = |(task, part): (usize, &Part)| Member {
            task: task as u16,
            worker: self.fleet.machine(part.machine).worker.name.clone(),
            accelerators: part.mask.indices(),
        };
        parts.iter().enumerate().map(member).collect()
    }

    /// Wall time at `now`, in milliseconds; none before the first event that carries one.
    pub(crate) fn wall_at(&self, now: Instant) -> Option<u64> {
        let (at, wall) = self.wall?;
        Some(wall + now.saturating_duration_since(at).as_millis() as u64)
    }
}
