use {
    super::{Scheduler, Turn},
    crate::{
        Cause, Decision,
        fault::Fault,
        fleet::Part,
        proof::{Candidate, Counted, Firm, Proof, Prover, Slot, assign, covers, spread, worse},
        reclaim::Kind,
        record::Record,
    },
    model::{account::Account, config::Config},
    std::collections::BTreeMap,
};

/// A job that asks to count under a guarantee.
type Entry<'a> = (Candidate, &'a Record, &'a [Part]);

/// Orders in which a failed packing is tried again when something changed.
const REPAIRS: usize = 6;

/// Orders in which a failed packing is tried again for one admission.
const ADMISSION_REPAIRS: usize = 2;

impl Scheduler {
    /// A prover for `config` on the present workers.
    pub(crate) fn prover<'a>(&'a self, config: &'a Config) -> Prover<'a> {
        Prover {
            fleet: &self.fleet,
            config,
            regions: &self.settings.regions,
            repairs: REPAIRS,
        }
    }

    /// Collects the work that cannot be taken back under `config`.
    pub(crate) fn collect(&self, config: &Config) -> Firm {
        let mut firm = Firm {
            room: self.fleet.empty_room(|machine| machine.in_service()),
            ..Firm::default()
        };
        let mut accounts: BTreeMap<u32, Vec<Entry>> = BTreeMap::new();
        for (id, record) in &self.jobs {
            let claim = self.bookings.get(id).filter(|booking| !booking.is_soft());
            let (parts, counted) = match claim {
                Some(booking) => (&booking.parts, matches!(booking.kind, Kind::Claim(_))),
                None => (&record.parts, !record.borrowed),
            };
            if parts.is_empty() || (claim.is_none() && record.is_ending()) {
                continue;
            }
            let name = &self.names[record.account as usize];
            let Some((index, _, account)) = config.accounts.get_full(name) else {
                if !record.is_stoppable() {
                    firm.add(None, parts);
                }
                continue;
            };
            let index = index as u32;
            if counted {
                let options = self.options(account, *id, record, parts);
                let candidate = Candidate { job: *id, options };
                accounts
                    .entry(index)
                    .or_default()
                    .push((candidate, record, parts));
            } else if !record.is_stoppable() {
                firm.add(Some(index), parts);
            }
        }
        for (index, jobs) in accounts {
            let counts: Vec<_> = config.accounts[index as usize]
                .guarantees
                .values()
                .map(|g| g.count)
                .collect();
            let candidates: Vec<_> = jobs
                .iter()
                .map(|(candidate, ..)| candidate.clone())
                .collect();
            let chosen = assign(&candidates, &counts);
            for ((candidate, record, parts), chosen) in jobs.into_iter().zip(chosen) {
                match chosen {
                    Some(nth) => firm.count(Counted {
                        job: candidate.job,
                        slot: (index, nth as u32),
                        shape: record.shape.clone(),
                        parts: parts.to_vec(),
                    }),
                    None if !record.is_stoppable() => firm.add(Some(index), parts),
                    None => {}
                }
            }
        }
        firm
    }

    /// Guarantees under which a job with these parts may count, the one it claimed first, then the
    /// smallest.
    fn options(&self, account: &Account, id: u64, record: &Record, parts: &[Part]) -> Vec<usize> {
        let Some(adjacency) = spread(&self.fleet, parts) else {
            return Vec::new();
        };
        let claimed = match self.bookings.get(&id).map(|booking| &booking.kind) {
            Some(Kind::Claim(name)) => Some(name.as_str()),
            _ => record.guarantee.as_deref(),
        };
        let site = &self.fleet.machine(parts[0].machine).worker.site;
        let mut options: Vec<_> = account
            .guarantees
            .iter()
            .enumerate()
            .filter(|(_, (_, guarantee))| {
                covers(&guarantee.shape, &record.shape, record.is_stoppable())
                    && adjacency <= guarantee.shape.adjacency
                    && guarantee.place.contains(site)
            })
            .map(|(nth, (name, guarantee))| {
                let size = guarantee.shape.total_accelerators();
                (Some(name.as_str()) != claimed, size, nth)
            })
            .collect();
        options.sort_unstable();
        options.into_iter().map(|(.., nth)| nth).collect()
    }

    /// Collects firm work again where needed and proves the guarantees.
    pub(crate) fn refresh(&mut self) {
        if self.firm.is_none() {
            let firm = self.collect(&self.config);
            let proof = self.prover(&self.config).prove(&firm, &self.proof);
            if proof.missing != self.proof.missing {
                self.epoch += 1;
            }
            self.proof = proof;
            self.firm = Some(firm);
        }
    }

    /// Reports what is owed when that has changed.
    pub(crate) fn tell(&mut self, out: &mut Vec<Decision>) {
        if self.told != self.proof.missing && !self.has_fault(Fault::HideShortfalls) {
            self.told = self.proof.missing.clone();
            out.push(Decision::ShortfallsChanged {
                shortfalls: self.told.clone(),
            });
        }
    }

    /// Data centres in which a guarantee is owed for want of capacity.
    pub(crate) fn closed(&self) -> Vec<bool> {
        let owed: Vec<_> = self
            .proof
            .missing
            .iter()
            .filter(|missing| {
                matches!(
                    missing.cause,
                    Cause::NoWorker | Cause::ShapeTooLarge | Cause::InsufficientCapacity
                )
            })
            .collect();
        let open = self.has_fault(Fault::BorrowDespiteShortfall);
        self.fleet
            .centres()
            .map(|site| !open && owed.iter().any(|missing| missing.place.contains(site)))
            .collect()
    }

    /// Adds firm work if every guarantee that can be proved now can be proved with it as well.
    pub(crate) fn admit(&mut self, id: u64, slot: Option<Slot>, parts: &[Part]) -> bool {
        let (Some(record), Some(firm)) = (self.jobs.get(&id), &self.firm) else {
            return false;
        };
        let mut firm = firm.clone();
        match slot {
            Some(slot) => firm.count(Counted {
                job: id,
                slot,
                shape: record.shape.clone(),
                parts: parts.to_vec(),
            }),
            None => {
                let name = &self.names[record.account as usize];
                let index = self.config.accounts.get_index_of(name);
                firm.add(index.map(|index| index as u32), parts);
            }
        }
        let mut prover = self.prover(&self.config);
        prover.repairs = ADMISSION_REPAIRS;
        let proof: Proof = prover.prove(&firm, &self.proof);
        if worse(&proof.missing, &self.proof.missing) && !self.has_fault(Fault::SkipProof) {
            return false;
        }
        self.proof = proof;
        self.firm = Some(firm);
        true
    }

    /// Data centres permitted to a job; without those closed to borrowing if it would borrow.
    pub(crate) fn open_centres(&self, record: &Record, turn: &Turn, borrows: bool) -> Vec<bool> {
        let name = &self.names[record.account as usize];
        let mut centres = match self.has_fault(Fault::IgnorePlace) {
            true => vec![true; turn.closed.len()],
            false => self.centres(name, record.place.as_ref()),
        };
        for (centre, closed) in centres.iter_mut().zip(&turn.closed) {
            *centre &= !(borrows && *closed);
        }
        centres
    }
}
