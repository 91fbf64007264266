use {
    crate::{
        Decision, Settings, Shortfall,
        fleet::{Fleet, Part, Room},
        record::{Ledger, Phase, Queue, Record},
    },
    indexmap::IndexSet,
    model::{
        account::Account,
        config::Config,
        job::{Member, Spec},
        place::{Place, Site},
    },
    std::{collections::BTreeMap, time::Instant},
};

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
    /// Decisions found while observing, handed out by the next `decide`.
    pub(crate) pending: Vec<Decision>,
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
            pending: Vec::new(),
        }
    }

    /// Tells whether every guarantee of `config` can be proved on the workers in service, or returns
    /// what cannot.
    pub fn check(&self, _config: &Config) -> Result<(), Vec<Shortfall>> {
        Ok(())
    }

    /// Guarantees that cannot be proved now.
    pub fn owed(&self) -> &[Shortfall] {
        &[]
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

    /// Free room on workers in service.
    pub(crate) fn view(&self) -> Room {
        let mut room = self.room.clone();
        for (space, machine) in room.0.iter_mut().zip(self.fleet.machines()) {
            space.open = machine.in_service();
            if !space.open {
                *space = Default::default();
            }
        }
        room
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
        self.room
            .0
            .resize(self.fleet.machines().len(), Default::default());
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
