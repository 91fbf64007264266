use {
    super::{Covered, GuaranteeId, Pinned, Placement, Proof, closest_adjacency},
    crate::{
        Cause, Shortfall,
        fleet::{Allocation, Capacity, Filter, Fleet, pack},
    },
    model::{account::Guarantee, config::Config, shape::Shape},
};

/// Finds placements for all guaranteed gangs beside pinned work.
pub struct Prover<'a> {
    /// Workers to place the gangs on.
    pub fleet: &'a Fleet,
    /// Accounts with their guarantees and quotas.
    pub config: &'a Config,
    /// Regions whose guarantees are checked; empty means all.
    pub regions: &'a [String],
    /// Maximum number of further packings in another order when a gang does not fit.
    pub max_repacks: usize,
}

/// A guaranteed gang without a placement.
struct Need<'a> {
    guarantee_id: GuaranteeId,
    guarantee: &'a Guarantee,
    centres: Vec<bool>,
    /// A job that counts here without holding the whole shape; the placement may overlap its
    /// allocations.
    own: Option<&'a Covered>,
}

impl Need<'_> {
    fn placement(&self, allocations: Vec<Allocation>) -> Placement {
        Placement {
            guarantee_id: self.guarantee_id,
            allocations,
            job: self.own.map(|own| own.job),
        }
    }
}

impl<'a> Prover<'a> {
    /// Builds the proof, keeping the placements of `previous` that are still valid. If a gang does not
    /// fit, all gangs are packed again, largest shape first, and then with the failed shapes in front.
    /// A repacking is used only if it has fewer shortfalls and adds none, so that it does not move a
    /// shortfall to another account.
    pub fn prove(&self, pinned: &'a Pinned, previous: &Proof) -> Proof {
        let mut base = Proof::default();
        let mut needs = self.needs(pinned, &mut base);
        needs.sort_by_key(|need| std::cmp::Reverse(size(&need.guarantee.shape)));
        let (mut best, mut failed) = self.pack_all(pinned, &base, &needs, previous);
        let empty = Proof::default();
        for _ in 0..self.max_repacks {
            if failed.is_empty() {
                break;
            }
            let (proof, still_failed) = self.pack_all(pinned, &base, &needs, &empty);
            for (front, index) in still_failed.iter().enumerate() {
                needs[front..=*index].rotate_right(1);
            }
            if still_failed.len() < failed.len()
                && !adds_shortfall(&proof.shortfalls, &best.shortfalls)
            {
                (best, failed) = (proof, still_failed);
            } else if still_failed.is_empty() {
                break;
            }
        }
        self.check_quotas(pinned, &mut best);
        best
    }

    /// Lists the gangs that need a placement. Where a job already holds the whole guaranteed shape, its
    /// allocations are added to `proof` instead.
    fn needs(&self, pinned: &'a Pinned, proof: &mut Proof) -> Vec<Need<'a>> {
        let mut needs = Vec::new();
        for (index, account) in self.config.accounts.values().enumerate() {
            for (nth, guarantee) in account.guarantees.values().enumerate() {
                let region = guarantee.place.region();
                if !self.regions.is_empty() && !self.regions.iter().any(|name| name == region) {
                    continue;
                }
                let guarantee_id = (index as u32, nth as u32);
                let centres = self
                    .fleet
                    .permitted(account, |site| guarantee.place.contains(site));
                let mut covered = pinned
                    .covered
                    .iter()
                    .filter(|covered| covered.guarantee_id == guarantee_id);
                for _ in 0..guarantee.count {
                    let own = covered.next();
                    match own {
                        Some(own) if self.is_whole(guarantee, own) => {
                            proof.placements.push(Placement {
                                guarantee_id,
                                allocations: own.allocations.clone(),
                                job: Some(own.job),
                            })
                        }
                        own => needs.push(Need {
                            guarantee_id,
                            guarantee,
                            centres: centres.clone(),
                            own,
                        }),
                    }
                }
            }
        }
        needs
    }

    /// Tells whether a job holds the whole guaranteed shape on workers in service.
    fn is_whole(&self, guarantee: &Guarantee, own: &Covered) -> bool {
        let shape = &guarantee.shape;
        let size = |shape: &Shape| (shape.tasks, shape.accelerators, shape.cpus, shape.memory_mb);
        size(shape) == size(&own.shape)
            && closest_adjacency(self.fleet, &own.allocations)
                .is_some_and(|found| found <= shape.adjacency)
            && own
                .allocations
                .iter()
                .all(|allocation| self.fleet.machine(allocation.machine).in_service())
    }

    fn pack_all(
        &self,
        pinned: &Pinned,
        base: &Proof,
        needs: &[Need],
        previous: &Proof,
    ) -> (Proof, Vec<usize>) {
        let mut proof = base.clone();
        let mut capacity = pinned.capacity.clone();
        let mut kept = vec![false; previous.placements.len()];
        let mut unserved = Vec::new();
        for (index, need) in needs.iter().enumerate() {
            let mut used = None;
            let found = self.allocate(&mut capacity, need, |capacity| {
                let valid = |at: &usize| {
                    !kept[*at] && self.is_valid(pinned, capacity, need, &previous.placements[*at])
                };
                used = (0..kept.len()).find(valid);
                used.map(|at| previous.placements[at].allocations.clone())
            });
            match (found, used) {
                (Some(allocations), Some(at)) => {
                    kept[at] = true;
                    proof.placements.push(need.placement(allocations));
                }
                _ => unserved.push(index),
            }
        }
        let mut failed = Vec::new();
        for index in unserved {
            let need = &needs[index];
            let filter = Filter {
                centres: &need.centres,
                avoid: &[],
            };
            let shape = &need.guarantee.shape;
            match self.allocate(&mut capacity, need, |capacity| {
                pack(self.fleet, capacity, shape, filter)
            }) {
                Some(allocations) => proof.placements.push(need.placement(allocations)),
                None => {
                    failed.push(index);
                    self.add_unplaced(&mut proof, need);
                }
            }
        }
        (proof, failed)
    }

    /// Tells whether a placement of an earlier proof still serves `need`. The placement of an ended job
    /// stays usable for the next claim, so that the proof does not depend on finding a new one.
    fn is_valid(
        &self,
        pinned: &Pinned,
        capacity: &Capacity,
        need: &Need,
        placement: &Placement,
    ) -> bool {
        let own = need.own.map(|own| own.job);
        let counts = |job| pinned.covered.iter().any(|covered| covered.job == job);
        if placement.guarantee_id != need.guarantee_id
            || placement
                .job
                .is_some_and(|job| Some(job) != own && counts(job))
        {
            return false;
        }
        let mut trial: Vec<(u32, _)> = Vec::new();
        for allocation in &placement.allocations {
            let centre = self.fleet.machine(allocation.machine).centre;
            if !need.centres.get(centre).is_some_and(|permitted| *permitted) {
                return false;
            }
            let at = trial
                .iter()
                .position(|(machine, _)| *machine == allocation.machine);
            let at = at.unwrap_or_else(|| {
                trial.push((allocation.machine, capacity.0[allocation.machine as usize]));
                trial.len() - 1
            });
            let resources = &mut trial[at].1;
            if !resources.schedulable || allocation.mask.difference(resources.mask).len() > 0 {
                return false;
            }
            resources.mask = resources.mask.difference(allocation.mask);
            resources.cpus -= i64::from(allocation.cpus);
            resources.memory_mb -= i64::from(allocation.memory_mb);
            if (allocation.cpus > 0 && resources.cpus < 0)
                || (allocation.memory_mb > 0 && resources.memory_mb < 0)
            {
                return false;
            }
        }
        closest_adjacency(self.fleet, &placement.allocations)
            .is_some_and(|found| found <= need.guarantee.shape.adjacency)
    }

    /// Subtracts the allocations that `choose` returns from `capacity`. They may overlap those of the
    /// job that counts against the guarantee.
    fn allocate(
        &self,
        capacity: &mut Capacity,
        need: &Need,
        choose: impl FnOnce(&Capacity) -> Option<Vec<Allocation>>,
    ) -> Option<Vec<Allocation>> {
        let own = need.own.map_or(&[][..], |own| &own.allocations);
        let in_service =
            |allocation: &&Allocation| self.fleet.machine(allocation.machine).in_service();
        let own: Vec<_> = own.iter().filter(in_service).collect();
        own.iter().for_each(|allocation| capacity.free(allocation));
        let allocations = choose(capacity);
        for allocation in allocations.iter().flatten() {
            capacity.hold(allocation);
        }
        // What the job holds beyond these allocations stays subtracted.
        let mut shared: Vec<Allocation> = allocations.iter().flatten().copied().collect();
        for allocation in own {
            let mut rest = *allocation;
            for other in shared
                .iter_mut()
                .filter(|other| other.machine == allocation.machine)
            {
                let cpus = rest.cpus.min(other.cpus);
                let memory_mb = rest.memory_mb.min(other.memory_mb);
                rest.cpus -= cpus;
                rest.memory_mb -= memory_mb;
                other.cpus -= cpus;
                other.memory_mb -= memory_mb;
            }
            capacity.hold(&rest);
        }
        allocations
    }

    fn add_unplaced(&self, proof: &mut Proof, need: &Need) {
        let shape = &need.guarantee.shape;
        let capacity = self.fleet.total_capacity(|machine| machine.in_service());
        let any = |machine: &crate::fleet::Machine| {
            machine.in_service() && need.centres.get(machine.centre).is_some_and(|ok| *ok)
        };
        let filter = Filter {
            centres: &need.centres,
            avoid: &[],
        };
        let cause = if !need.centres.contains(&true) && self.is_withdrawn(need) {
            Cause::NotPermitted
        } else if !self.fleet.machines().iter().any(any) {
            Cause::NoWorker
        } else if pack(self.fleet, &capacity, shape, filter).is_none() {
            Cause::ShapeTooLarge
        } else {
            Cause::InsufficientCapacity
        };
        self.add(proof, need.guarantee_id, 1, cause);
    }

    fn is_withdrawn(&self, need: &Need) -> bool {
        let account = self.config.accounts.get_index(need.guarantee_id.0 as usize);
        !account.is_some_and(|(_, account)| {
            account
                .places
                .iter()
                .any(|place| place.covers(&need.guarantee.place))
        })
    }

    fn add(&self, proof: &mut Proof, guarantee_id: GuaranteeId, missing: u16, cause: Cause) {
        let Some((account, entry)) = self.config.accounts.get_index(guarantee_id.0 as usize) else {
            return;
        };
        let Some((guarantee, entry)) = entry.guarantees.get_index(guarantee_id.1 as usize) else {
            return;
        };
        let same = |found: &&mut Shortfall| {
            found.account == *account && found.guarantee == *guarantee && found.cause == cause
        };
        match proof.shortfalls.iter_mut().find(same) {
            Some(found) => found.missing += missing,
            None => proof.shortfalls.push(Shortfall {
                account: account.clone(),
                guarantee: guarantee.clone(),
                place: entry.place.clone(),
                missing,
                cause,
            }),
        }
    }

    /// Adds shortfalls for accounts whose quota is less than their guarantees plus their pinned work
    /// outside of them.
    fn check_quotas(&self, pinned: &Pinned, proof: &mut Proof) {
        for (index, account) in self.config.accounts.values().enumerate() {
            let Some(quota) = account.quota else {
                continue;
            };
            let mut left =
                quota.saturating_sub(pinned.uncovered.get(&(index as u32)).copied().unwrap_or(0));
            for (nth, guarantee) in account.guarantees.values().enumerate() {
                let each = guarantee.shape.total_accelerators().max(1);
                let fit = (left / each).min(u32::from(guarantee.count)) as u16;
                left -= u32::from(fit) * each;
                if fit < guarantee.count {
                    let guarantee_id = (index as u32, nth as u32);
                    self.add(
                        proof,
                        guarantee_id,
                        guarantee.count - fit,
                        Cause::QuotaTooLow,
                    );
                }
            }
        }
    }
}

/// Sort key for packing; larger shapes are harder to place and come first.
fn size(shape: &Shape) -> (u32, u16, u16) {
    (shape.total_accelerators(), shape.accelerators, shape.tasks)
}

/// Tells whether `next` has a shortfall that is not in `last`, or a larger one.
pub fn adds_shortfall(next: &[Shortfall], last: &[Shortfall]) -> bool {
    next.iter().any(|shortfall| {
        let before: u16 = last
            .iter()
            .filter(|other| {
                (&other.account, &other.guarantee, &other.cause)
                    == (&shortfall.account, &shortfall.guarantee, &shortfall.cause)
            })
            .map(|other| other.missing)
            .sum();
        shortfall.missing > before
    })
}
