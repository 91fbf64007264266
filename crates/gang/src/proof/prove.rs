use {
    super::{Counted, Firm, Proof, Set, Slot, spread},
    crate::{
        Cause, Shortfall,
        fleet::{Filter, Fleet, Part, Room, pack},
    },
    model::{account::Guarantee, config::Config, shape::Shape},
};

/// Finds a place for every guaranteed gang beside firm work.
pub struct Prover<'a> {
    /// The workers.
    pub fleet: &'a Fleet,
    /// The guarantees.
    pub config: &'a Config,
    /// Regions whose guarantees are proved; empty means all.
    pub regions: &'a [String],
    /// How many times a failed packing is tried again in another order.
    pub repairs: usize,
}

/// One guaranteed gang that needs a set.
struct Need<'a> {
    slot: Slot,
    guarantee: &'a Guarantee,
    centres: Vec<bool>,
    /// A smaller job that counts here; its own place may be part of the set.
    own: Option<&'a Counted>,
}

impl Need<'_> {
    fn set(&self, parts: Vec<Part>) -> Set {
        Set {
            slot: self.slot,
            parts,
            job: self.own.map(|own| own.job),
        }
    }
}

impl<'a> Prover<'a> {
    /// Builds the proof, keeping the sets of `previous` that are still valid. If something does not
    /// fit, everything is packed again, largest shape first, and then with the shapes that failed in
    /// front. Another attempt is taken only if it misses less and nothing that was proved before, so
    /// that a repair does not move a shortfall to another account.
    pub fn prove(&self, firm: &'a Firm, previous: &Proof) -> Proof {
        let mut base = Proof::default();
        let mut needs = self.needs(firm, &mut base);
        needs.sort_by_key(|need| std::cmp::Reverse(size(&need.guarantee.shape)));
        let (mut best, mut failed) = self.attempt(firm, &base, &needs, previous);
        let nothing = Proof::default();
        for _ in 0..self.repairs {
            if failed.is_empty() {
                break;
            }
            let (proof, missing) = self.attempt(firm, &base, &needs, &nothing);
            for (front, index) in missing.iter().enumerate() {
                needs[front..=*index].rotate_right(1);
            }
            if missing.len() < failed.len() && !worse(&proof.missing, &best.missing) {
                (best, failed) = (proof, missing);
            } else if missing.is_empty() {
                break;
            }
        }
        self.quotas(firm, &mut best);
        best
    }

    /// Lists the gangs without a set; those whose job holds the whole shape go straight to `proof`.
    fn needs(&self, firm: &'a Firm, proof: &mut Proof) -> Vec<Need<'a>> {
        let mut needs = Vec::new();
        for (index, account) in self.config.accounts.values().enumerate() {
            for (nth, guarantee) in account.guarantees.values().enumerate() {
                let region = guarantee.place.region();
                if !self.regions.is_empty() && !self.regions.iter().any(|name| name == region) {
                    continue;
                }
                let slot = (index as u32, nth as u32);
                let centres = self
                    .fleet
                    .permitted(account, |site| guarantee.place.contains(site));
                let mut counted = firm.counted.iter().filter(|counted| counted.slot == slot);
                for _ in 0..guarantee.count {
                    let own = counted.next();
                    match own {
                        Some(own) if self.is_whole(guarantee, own) => proof.sets.push(Set {
                            slot,
                            parts: own.parts.clone(),
                            job: Some(own.job),
                        }),
                        own => needs.push(Need {
                            slot,
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
    fn is_whole(&self, guarantee: &Guarantee, own: &Counted) -> bool {
        let shape = &guarantee.shape;
        let size = |shape: &Shape| (shape.tasks, shape.accelerators, shape.cpus, shape.memory_mb);
        size(shape) == size(&own.shape)
            && spread(self.fleet, &own.parts).is_some_and(|found| found <= shape.adjacency)
            && own
                .parts
                .iter()
                .all(|part| self.fleet.machine(part.machine).in_service())
    }

    fn attempt(
        &self,
        firm: &Firm,
        base: &Proof,
        needs: &[Need],
        previous: &Proof,
    ) -> (Proof, Vec<usize>) {
        let mut proof = base.clone();
        let mut room = firm.room.clone();
        let mut kept = vec![false; previous.sets.len()];
        let mut open = Vec::new();
        for (index, need) in needs.iter().enumerate() {
            let mut used = None;
            let found = self.take(&mut room, need, |room| {
                let valid =
                    |at: &usize| !kept[*at] && self.is_valid(firm, room, need, &previous.sets[*at]);
                used = (0..kept.len()).find(valid);
                used.map(|at| previous.sets[at].parts.clone())
            });
            match (found, used) {
                (Some(parts), Some(at)) => {
                    kept[at] = true;
                    proof.sets.push(need.set(parts));
                }
                _ => open.push(index),
            }
        }
        let mut failed = Vec::new();
        for index in open {
            let need = &needs[index];
            let filter = Filter {
                centres: &need.centres,
                avoid: &[],
            };
            let shape = &need.guarantee.shape;
            match self.take(&mut room, need, |room| {
                pack(self.fleet, room, shape, filter)
            }) {
                Some(parts) => proof.sets.push(need.set(parts)),
                None => {
                    failed.push(index);
                    self.miss(&mut proof, need);
                }
            }
        }
        (proof, failed)
    }

    /// Tells whether an earlier set can serve a need. The set of a job that has ended serves the
    /// next claim, so that the proof does not depend on finding a new place for it.
    fn is_valid(&self, firm: &Firm, room: &Room, need: &Need, set: &Set) -> bool {
        let own = need.own.map(|own| own.job);
        let counts = |job| firm.counted.iter().any(|counted| counted.job == job);
        if set.slot != need.slot || set.job.is_some_and(|job| Some(job) != own && counts(job)) {
            return false;
        }
        let mut trial: Vec<(u32, _)> = Vec::new();
        for part in &set.parts {
            let centre = self.fleet.machine(part.machine).centre;
            if !need.centres.get(centre).is_some_and(|permitted| *permitted) {
                return false;
            }
            let at = trial
                .iter()
                .position(|(machine, _)| *machine == part.machine);
            let at = at.unwrap_or_else(|| {
                trial.push((part.machine, room.0[part.machine as usize]));
                trial.len() - 1
            });
            let space = &mut trial[at].1;
            if !space.open || part.mask.without(space.mask).len() > 0 {
                return false;
            }
            space.mask = space.mask.without(part.mask);
            space.cpus -= i64::from(part.cpus);
            space.memory_mb -= i64::from(part.memory_mb);
            if (part.cpus > 0 && space.cpus < 0) || (part.memory_mb > 0 && space.memory_mb < 0) {
                return false;
            }
        }
        spread(self.fleet, &set.parts).is_some_and(|found| found <= need.guarantee.shape.adjacency)
    }

    /// Takes the place that `choose` finds out of `room`. A smaller job that counts under the
    /// guarantee lends its own place.
    fn take(
        &self,
        room: &mut Room,
        need: &Need,
        choose: impl FnOnce(&Room) -> Option<Vec<Part>>,
    ) -> Option<Vec<Part>> {
        let own = need.own.map_or(&[][..], |own| &own.parts);
        let in_service = |part: &&Part| self.fleet.machine(part.machine).in_service();
        let own: Vec<_> = own.iter().filter(in_service).collect();
        own.iter().for_each(|part| room.free(part));
        let parts = choose(room);
        for part in parts.iter().flatten() {
            room.hold(part);
        }
        // What the job holds outside the set stays held.
        let mut shared: Vec<Part> = parts.iter().flatten().copied().collect();
        for part in own {
            let mut rest = *part;
            for other in shared
                .iter_mut()
                .filter(|other| other.machine == part.machine)
            {
                let cpus = rest.cpus.min(other.cpus);
                let memory_mb = rest.memory_mb.min(other.memory_mb);
                rest.cpus -= cpus;
                rest.memory_mb -= memory_mb;
                other.cpus -= cpus;
                other.memory_mb -= memory_mb;
            }
            room.hold(&rest);
        }
        parts
    }

    fn miss(&self, proof: &mut Proof, need: &Need) {
        let shape = &need.guarantee.shape;
        let room = self.fleet.empty_room(|machine| machine.in_service());
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
        } else if pack(self.fleet, &room, shape, filter).is_none() {
            Cause::ShapeTooLarge
        } else {
            Cause::InsufficientCapacity
        };
        self.add(proof, need.slot, 1, cause);
    }

    fn is_withdrawn(&self, need: &Need) -> bool {
        let account = self.config.accounts.get_index(need.slot.0 as usize);
        !account.is_some_and(|(_, account)| {
            account
                .places
                .iter()
                .any(|place| place.covers(&need.guarantee.place))
        })
    }

    fn add(&self, proof: &mut Proof, slot: Slot, missing: u16, cause: Cause) {
        let Some((account, entry)) = self.config.accounts.get_index(slot.0 as usize) else {
            return;
        };
        let Some((guarantee, entry)) = entry.guarantees.get_index(slot.1 as usize) else {
            return;
        };
        let same = |found: &&mut Shortfall| {
            found.account == *account && found.guarantee == *guarantee && found.cause == cause
        };
        match proof.missing.iter_mut().find(same) {
            Some(found) => found.missing += missing,
            None => proof.missing.push(Shortfall {
                account: account.clone(),
                guarantee: guarantee.clone(),
                place: entry.place.clone(),
                missing,
                cause,
            }),
        }
    }

    /// Adds shortfalls of accounts whose quota is too small for their guarantees and firm work.
    fn quotas(&self, firm: &Firm, proof: &mut Proof) {
        for (index, account) in self.config.accounts.values().enumerate() {
            let Some(quota) = account.quota else {
                continue;
            };
            let mut left =
                quota.saturating_sub(firm.beyond.get(&(index as u32)).copied().unwrap_or(0));
            for (nth, guarantee) in account.guarantees.values().enumerate() {
                let each = guarantee.shape.total_accelerators().max(1);
                let fit = (left / each).min(u32::from(guarantee.count)) as u16;
                left -= u32::from(fit) * each;
                if fit < guarantee.count {
                    let slot = (index as u32, nth as u32);
                    self.add(proof, slot, guarantee.count - fit, Cause::QuotaTooLow);
                }
            }
        }
    }
}

/// Order of packing: the shapes that are hardest to place come first.
fn size(shape: &Shape) -> (u32, u16, u16) {
    (shape.total_accelerators(), shape.accelerators, shape.tasks)
}

/// Tells whether `next` misses anything that `last` does not.
pub fn worse(next: &[Shortfall], last: &[Shortfall]) -> bool {
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
