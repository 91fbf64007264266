use {
    super::{Capacity, Mask, Resources},
    indexmap::{IndexMap, IndexSet},
    model::{
        account::Account,
        place::{Site, permits},
        worker::Worker,
    },
    std::time::Instant,
};

/// A worker and its condition.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The last announcement; zero capacity and empty site and rack before the first one.
    pub worker: Worker,
    /// Whether it has announced itself to this leader.
    pub known: bool,
    /// Whether its announcements arrive in time.
    pub live: bool,
    /// Whether an operator is draining it.
    pub drained: bool,
    /// Whether an operator has evacuated its data centre.
    pub evacuated: bool,
    /// When it was quarantined or last failed a probe; `None` if it is not in quarantine.
    pub quarantined: Option<Instant>,
    /// Whether a proposed probe has not been answered yet.
    pub probing: bool,
    /// Index of its data centre in the fleet; `usize::MAX` before the first announcement.
    pub centre: usize,
}

impl Machine {
    /// Tells whether new gangs may be placed on it.
    pub fn in_service(&self) -> bool {
        let is_withdrawn = self.drained || self.evacuated;
        self.known && self.live && !is_withdrawn && self.quarantined.is_none()
    }

    /// Records the result of a probe; a failed one starts the probe interval again.
    pub fn finish_probe(&mut self, passed: bool, now: Instant) {
        self.probing = false;
        if self.quarantined.is_some() {
            self.quarantined = (!passed).then_some(now);
        }
    }
}

/// All workers named in events so far, indexed by site and rack.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    names: IndexSet<String>,
    machines: Vec<Machine>,
    /// Machines by data centre index and rack name.
    racks: IndexMap<(usize, String), Vec<u32>>,
    centres: IndexSet<Site>,
    centre_racks: Vec<Vec<usize>>,
    /// Names of the data centres that operators have evacuated.
    evacuated: IndexSet<String>,
}

impl Fleet {
    /// Returns the index of a worker. An unknown name gets an entry that is out of service.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.names.get_index_of(name) {
            return index as u32;
        }
        self.names.insert(name.to_owned());
        self.machines.push(Machine {
            worker: Worker {
                name: name.to_owned(),
                site: Site {
                    region: String::new(),
                    data_centre: String::new(),
                },
                rack: String::new(),
                accelerators: 0,
                cpus: 0,
                memory_mb: 0,
                address: String::new(),
            },
            known: false,
            live: false,
            drained: false,
            evacuated: false,
            quarantined: None,
            probing: false,
            centre: usize::MAX,
        });
        (self.machines.len() - 1) as u32
    }

    /// Returns the index of a worker, if the name is in the fleet.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.names.get_index_of(name).map(|index| index as u32)
    }

    /// Stores an announcement. Returns whether the worker came back, is new, or changed.
    pub fn announce(&mut self, worker: &Worker) -> bool {
        let index = self.intern(&worker.name);
        let machine = &mut self.machines[index as usize];
        let back = !machine.live;
        machine.live = true;
        if machine.known && machine.worker == *worker {
            return back;
        }
        let moved = !machine.known
            || machine.worker.site != worker.site
            || machine.worker.rack != worker.rack;
        machine.known = true;
        machine.worker = worker.clone();
        machine.evacuated = self.evacuated.contains(&worker.site.data_centre);
        if moved {
            self.reindex();
        }
        true
    }

    /// Replaces the data centres that are evacuated. Returns whether that concerns a known machine.
    pub fn set_evacuated(&mut self, data_centres: impl IntoIterator<Item = String>) -> bool {
        self.evacuated = data_centres.into_iter().collect();
        let mut changed = false;
        for machine in self.machines.iter_mut().filter(|machine| machine.known) {
            let evacuated = self.evacuated.contains(&machine.worker.site.data_centre);
            changed |= std::mem::replace(&mut machine.evacuated, evacuated) != evacuated;
        }
        changed
    }

    fn reindex(&mut self) {
        self.racks.clear();
        self.centre_racks.clear();
        self.centres.clear();
        for (index, machine) in self.machines.iter_mut().enumerate() {
            if !machine.known {
                continue;
            }
            let (centre, _) = self.centres.insert_full(machine.worker.site.clone());
            machine.centre = centre;
            if self.centre_racks.len() <= centre {
                self.centre_racks.push(Vec::new());
            }
            let entry = self.racks.entry((centre, machine.worker.rack.clone()));
            let rack = entry.index();
            let members = entry.or_default();
            if members.is_empty() {
                self.centre_racks[centre].push(rack);
            }
            members.push(index as u32);
        }
    }

    /// All machines, by index.
    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// The machine with the given index; panics if there is none.
    pub fn machine(&self, index: u32) -> &Machine {
        &self.machines[index as usize]
    }

    /// Like [`Fleet::machine`], for changes to its condition.
    pub fn machine_mut(&mut self, index: u32) -> &mut Machine {
        &mut self.machines[index as usize]
    }

    /// The data centres, by index.
    pub fn centres(&self) -> impl Iterator<Item = &Site> {
        self.centres.iter()
    }

    /// The machines of a data centre, grouped by rack.
    pub fn racks_of(&self, centre: usize) -> impl Iterator<Item = &[u32]> {
        self.centre_racks[centre]
            .iter()
            .map(|rack| self.racks[*rack].as_slice())
    }

    /// For each data centre, whether `account` may use it and `wanted` accepts it.
    pub fn permitted(&self, account: &Account, wanted: impl Fn(&Site) -> bool) -> Vec<bool> {
        self.centres
            .iter()
            .map(|site| permits(account, site) && wanted(site))
            .collect()
    }

    /// The capacity of the machines accepted by `filter` when idle; the others have none.
    pub fn total_capacity(&self, filter: impl Fn(&Machine) -> bool) -> Capacity {
        let resources = |machine: &Machine| match filter(machine) {
            true => Resources {
                schedulable: true,
                mask: Mask::full(machine.worker.accelerators),
                cpus: i64::from(machine.worker.cpus),
                memory_mb: i64::from(machine.worker.memory_mb),
            },
            false => Resources::default(),
        };
        Capacity(self.machines.iter().map(resources).collect())
    }
}
