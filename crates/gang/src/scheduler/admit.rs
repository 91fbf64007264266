use {
    super::{Cycle, Scheduler},
    crate::{
        Cause, Decision,
        fault::Fault,
        fleet::Allocation,
        proof::{
            Candidate, Covered, GuaranteeId, Pinned, Proof, Prover, adds_shortfall, assign,
            closest_adjacency, covers,
        },
        reclaim::Kind,
        record::Record,
    },
    model::{account::Account, config::Config},
    std::collections::BTreeMap,
};

/// A job that may count against a guarantee, with its present or booked allocations.
type Entry<'a> = (Candidate, &'a Record, &'a [Allocation]);

/// Maximum number of repackings of all guarantees when the proof is rebuilt.
const MAX_REPACKS: usize = 6;

/// Maximum number of repackings of all guarantees in one admission check.
const MAX_ADMISSION_REPACKS: usize = 2;

impl Scheduler {
    /// A prover of the guarantees in `config` on the present workers.
    pub(crate) fn prover<'a>(&'a self, config: &'a Config) -> Prover<'a> {
        Prover {
            fleet: &self.fleet,
            config,
            regions: &self.settings.regions,
            max_repacks: MAX_REPACKS,
        }
    }

    /// Collects pinned work under `config`: present allocations, and bookings instead of them.
    pub(crate) fn collect_pinned(&self, config: &Config) -> Pinned {
        let mut pinned = Pinned {
            capacity: self.fleet.total_capacity(|machine| machine.in_service()),
            ..Pinned::default()
        };
        let mut accounts: BTreeMap<u32, Vec<Entry>> = BTreeMap::new();
        for (id, record) in &self.jobs {
            let claim = self
                .bookings
                .get(id)
                .filter(|booking| !booking.is_reservation());
            let (allocations, covered) = match claim {
                Some(booking) => (&booking.allocations, matches!(booking.kind, Kind::Claim(_))),
                None => (&record.allocations, !record.borrowed),
            };
            if allocations.is_empty() || (claim.is_none() && record.is_ending()) {
                continue;
            }
            let name = &self.account_names[record.account as usize];
            let Some((index, _, account)) = config.accounts.get_full(name) else {
                if !record.is_preemptible() {
                    pinned.add_uncovered(None, allocations);
                }
                continue;
            };
            let index = index as u32;
            if covered {
                let options = self.covering_guarantees(account, *id, record, allocations);
                let candidate = Candidate { job: *id, options };
                accounts
                    .entry(index)
                    .or_default()
                    .push((candidate, record, allocations));
            } else if !record.is_preemptible() {
                pinned.add_uncovered(Some(index), allocations);
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
            for ((candidate, record, allocations), chosen) in jobs.into_iter().zip(chosen) {
                match chosen {
                    Some(nth) => pinned.add_covered(Covered {
                        job: candidate.job,
                        guarantee_id: (index, nth as u32),
                        shape: record.shape.clone(),
                        allocations: allocations.to_vec(),
                    }),
                    None if !record.is_preemptible() => {
                        pinned.add_uncovered(Some(index), allocations)
                    }
                    None => {}
                }
            }
        }
        pinned
    }

    /// Indices of the guarantees that a job with these allocations may count against: the one it
    /// claimed first, then by increasing size.
    fn covering_guarantees(
        &self,
        account: &Account,
        id: u64,
        record: &Record,
        allocations: &[Allocation],
    ) -> Vec<usize> {
        let Some(adjacency) = closest_adjacency(&self.fleet, allocations) else {
            return Vec::new();
        };
        let claimed = match self.bookings.get(&id).map(|booking| &booking.kind) {
            Some(Kind::Claim(name)) => Some(name.as_str()),
            _ => record.guarantee.as_deref(),
        };
        let site = &self.fleet.machine(allocations[0].machine).worker.site;
        let mut options: Vec<_> = account
            .guarantees
            .iter()
            .enumerate()
            .filter(|(_, (_, guarantee))| {
                covers(&guarantee.shape, &record.shape, record.is_preemptible())
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

    /// Collects pinned work and rebuilds the proof, if they are out of date.
    pub(crate) fn refresh_proof(&mut self) {
        if self.pinned.is_none() {
            let pinned = self.collect_pinned(&self.config);
            let proof = self.prover(&self.config).prove(&pinned, &self.proof);
            if proof.shortfalls != self.proof.shortfalls {
                self.epoch += 1;
            }
            self.proof = proof;
            self.pinned = Some(pinned);
        }
    }

    /// Proposes the present shortfalls if they have changed since the last report.
    pub(crate) fn report_shortfalls(&mut self, decisions: &mut Vec<Decision>) {
        if self.reported_shortfalls != self.proof.shortfalls
            && !self.has_fault(Fault::HideShortfalls)
        {
            self.reported_shortfalls = self.proof.shortfalls.clone();
            decisions.push(Decision::ShortfallsChanged {
                shortfalls: self.reported_shortfalls.clone(),
            });
        }
    }

    /// For each data centre, whether a guarantee there cannot be met for lack of capacity; no job may
    /// borrow there.
    pub(crate) fn closed_centres(&self) -> Vec<bool> {
        let shortfalls: Vec<_> = self
            .proof
            .shortfalls
            .iter()
            .filter(|shortfall| {
                matches!(
                    shortfall.cause,
                    Cause::NoWorker | Cause::ShapeTooLarge | Cause::InsufficientCapacity
                )
            })
            .collect();
        let open = self.has_fault(Fault::BorrowDespiteShortfall);
        self.fleet
            .centres()
            .map(|site| {
                !open
                    && shortfalls
                        .iter()
                        .any(|shortfall| shortfall.place.contains(site))
            })
            .collect()
    }

    /// Adds a job to pinned work if that causes no new shortfall. Returns whether it did.
    pub(crate) fn admit(
        &mut self,
        id: u64,
        guarantee_id: Option<GuaranteeId>,
        allocations: &[Allocation],
    ) -> bool {
        let (Some(record), Some(pinned)) = (self.jobs.get(&id), &self.pinned) else {
            return false;
        };
        let mut pinned = pinned.clone();
        match guarantee_id {
            Some(guarantee_id) => pinned.add_covered(Covered {
                job: id,
                guarantee_id,
                shape: record.shape.clone(),
                allocations: allocations.to_vec(),
            }),
            None => {
                let name = &self.account_names[record.account as usize];
                let index = self.config.accounts.get_index_of(name);
                pinned.add_uncovered(index.map(|index| index as u32), allocations);
            }
        }
        let mut prover = self.prover(&self.config);
        prover.max_repacks = MAX_ADMISSION_REPACKS;
        let proof: Proof = prover.prove(&pinned, &self.proof);
        if adds_shortfall(&proof.shortfalls, &self.proof.shortfalls)
            && !self.has_fault(Fault::SkipProof)
        {
            return false;
        }
        self.proof = proof;
        self.pinned = Some(pinned);
        true
    }

    /// Data centres where a job may be placed; if it `borrows`, without those closed to borrowing.
    pub(crate) fn open_centres(&self, record: &Record, cycle: &Cycle, borrows: bool) -> Vec<bool> {
        let name = &self.account_names[record.account as usize];
        let mut centres = match self.has_fault(Fault::IgnorePlace) {
            true => vec![true; cycle.closed.len()],
            false => self.centres(name, record.place.as_ref()),
        };
        for (centre, closed) in centres.iter_mut().zip(&cycle.closed) {
            *centre &= !(borrows && *closed);
        }
        centres
    }
}
