use {
    super::{Scheduler, Turn},
    crate::{
        Reason,
        fault::Fault,
        fleet::{Filter, Part, Room, pack},
        proof::{Slot, covers, is_whole, tightened},
        reclaim::{Booking, Holders, Kind, Search},
        record::{Phase, Record},
    },
    model::{job::Class, shape::Shape},
    std::collections::BTreeSet,
};

/// Places examined for one claim before the set of the proof is used.
const CLAIM_PLANS: usize = 6;

impl Scheduler {
    /// Places the jobs that may claim an unused guarantee. Sweeps never claim: they would keep the
    /// guarantee from the urgent work of the same account. Standard work that can be stopped claims
    /// last, when it found no other place, for the same reason.
    pub(crate) fn claims(&mut self, last: bool, turn: &mut Turn) {
        let guaranteed = |account: u32| {
            self.account(account)
                .is_some_and(|a| !a.guarantees.is_empty())
        };
        let mut heads: Vec<_> = self
            .queue
            .heads()
            .filter(|(account, class, ..)| *class != Class::Sweep && guaranteed(*account))
            .map(|(_, class, key)| (class, key))
            .collect();
        heads.sort_unstable();
        for (_, key) in heads {
            let mut next = Some(key);
            while let Some(key) = next.take() {
                let Some(record) = self.jobs.get(&key.1) else {
                    break;
                };
                let (account, class, ask) = (record.account, record.class, record.ask());
                let booked = self
                    .bookings
                    .get(&key.1)
                    .is_some_and(|booking| !booking.is_soft());
                if last != (class == Class::Standard && record.is_stoppable()) {
                    break;
                }
                if booked || self.give_up(key.1, turn) || self.claim(key.1, turn) {
                    next = self.queue.after(account, class, &ask, key);
                }
            }
        }
    }

    /// Tries every unused guarantee that covers a job. Returns whether it got a place or a booking.
    fn claim(&mut self, id: u64, turn: &mut Turn) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let Some((index, name, account)) = self
            .config
            .accounts
            .get_full(&self.names[record.account as usize])
        else {
            return false;
        };
        let permitted = self.centres(name, record.place.as_ref());
        let mut options = Vec::new();
        let mut full = Vec::new();
        for (nth, (name, guarantee)) in account.guarantees.iter().enumerate() {
            let slot = (index as u32, nth as u32);
            let used = self.firm.as_ref().map_or(0, |firm| firm.used(slot));
            if !covers(&guarantee.shape, &record.shape, record.is_stoppable()) {
                continue;
            }
            if used >= usize::from(guarantee.count) {
                full.push((slot, is_whole(&guarantee.shape, &record.shape)));
                continue;
            }
            let mut centres = permitted.clone();
            for (centre, site) in centres.iter_mut().zip(self.fleet.centres()) {
                *centre &= guarantee.place.contains(site);
            }
            let shape = tightened(&record.shape, &guarantee.shape);
            options.push((
                guarantee.shape.total_accelerators(),
                slot,
                name.clone(),
                shape,
                centres,
            ));
        }
        options.sort_by_key(|(size, slot, ..)| (*size, *slot));
        let claimed = options.into_iter().any(|(_, slot, name, shape, centres)| {
            self.claim_slot(id, slot, &name, &shape, &centres, turn)
        });
        if !claimed {
            self.displace(id, &full, turn);
        }
        claimed
    }

    /// Stops other work of the same account that uses up a guarantee: less urgent work, and smaller
    /// gangs for a gang of the whole guaranteed shape. The claim follows when the guarantee is unused.
    fn displace(&mut self, id: u64, full: &[(Slot, bool)], turn: &mut Turn) {
        let Some(claimant) = self.jobs.get(&id) else {
            return;
        };
        let counted = self.firm.iter().flat_map(|firm| &firm.counted);
        let victim = counted
            .filter_map(|counted| {
                let (_, whole) = full.iter().find(|(slot, _)| *slot == counted.slot)?;
                let record = self.jobs.get(&counted.job)?;
                let smaller = *whole && record.accelerators() < claimant.accelerators();
                let before =
                    claimant.class < record.class || (claimant.class == record.class && smaller);
                (before && record.is_stoppable() && record.phase == Phase::Held)
                    .then_some((counted.job, record))
            })
            .min_by_key(|(job, record)| (record.loss(), *job));
        if let Some((victim, _)) = victim {
            self.reclaim(victim, Reason::Claim { job: id }, &mut turn.out);
            self.refresh();
            turn.closed = self.closed();
        }
    }

    fn claim_slot(
        &mut self,
        id: u64,
        slot: Slot,
        name: &str,
        shape: &Shape,
        centres: &[bool],
        turn: &mut Turn,
    ) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        if self.within_quota(id) {
            let room = self.view_of(id, turn);
            if let Some(parts) = self.find(&room, record, shape, centres)
                && self.admit(id, Some(slot), &parts)
            {
                return self.place(id, parts, Some(name), turn);
            }
        }
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        // Stopping equal work of the same account for a job that can be stopped itself would only
        // exchange the two.
        let (account, class, size) = (record.account, record.class, record.accelerators());
        let exchangeable = class == Class::Standard && record.is_stoppable();
        let equal = |other: &Record| {
            let same = other.account == account && other.class == class;
            exchangeable && same && other.accelerators() >= size
        };
        let holders = self.holders(|_, record| record.is_stoppable() && !equal(record));
        let free = self.free_of(turn);
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: &holders,
            waits: false,
        };
        let avoid = self.avoided(record, shape, centres);
        let plans = search.plans(shape, Filter { centres, avoid });
        let mut choices: Vec<_> = plans
            .into_iter()
            .take(CLAIM_PLANS)
            .map(|plan| (plan.parts, plan.holders))
            .collect();
        choices.extend(self.proved_choice(slot, shape, centres, &free, &holders));
        for (parts, mut victims) in choices {
            if !self.free_quota(id, &mut victims, &holders) || !self.admit(id, Some(slot), &parts) {
                continue;
            }
            self.book(id, Kind::Claim(name.to_owned()), parts, &victims, turn);
            return true;
        }
        false
    }

    /// The set that the proof keeps for the guarantee; it is valid beside all other sets.
    fn proved_choice(
        &self,
        slot: Slot,
        shape: &Shape,
        centres: &[bool],
        free: &Room,
        holders: &Holders,
    ) -> Option<(Vec<Part>, BTreeSet<u64>)> {
        let set = self
            .proof
            .sets
            .iter()
            .find(|set| set.slot == slot && set.job.is_none())?;
        let mut room = self.fleet.empty_room(|_| false);
        for part in &set.parts {
            room.0[part.machine as usize].open = true;
            room.free(part);
        }
        let filter = Filter {
            centres,
            avoid: &[],
        };
        let parts = pack(&self.fleet, &room, shape, filter)?;
        let mut victims = BTreeSet::new();
        let mut rest = free.clone();
        for part in &parts {
            for job in &holders.machines[part.machine as usize] {
                let held = &holders.jobs[job].parts;
                let meets =
                    |held: &&Part| held.machine == part.machine && held.mask.meets(part.mask);
                if held.iter().any(|held| meets(&held)) && victims.insert(*job) {
                    held.iter().for_each(|held| rest.free(held));
                }
            }
        }
        // Processors and memory may need further holders to go.
        for part in &parts {
            for job in &holders.machines[part.machine as usize] {
                let space = &rest.0[part.machine as usize];
                let need: (i64, i64) = parts
                    .iter()
                    .filter(|other| other.machine == part.machine)
                    .fold((0, 0), |sum, p| {
                        (sum.0 + i64::from(p.cpus), sum.1 + i64::from(p.memory_mb))
                    });
                if space.cpus >= need.0 && space.memory_mb >= need.1 {
                    break;
                }
                if victims.insert(*job) {
                    holders.jobs[job]
                        .parts
                        .iter()
                        .for_each(|held| rest.free(held));
                }
            }
        }
        let fits = |part: &Part| part.mask.without(rest.0[part.machine as usize].mask).len() == 0;
        parts.iter().all(fits).then_some((parts, victims))
    }

    /// Adds victims of the same account until the quota allows the job.
    fn free_quota(&self, id: u64, victims: &mut BTreeSet<u64>, holders: &Holders) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let own = |job: &u64| {
            self.jobs
                .get(job)
                .filter(|other| other.account == record.account)
        };
        let mut excess = i64::from(self.quota_excess(id));
        for job in victims.iter() {
            excess -= own(job).map_or(0, |other| i64::from(other.accelerators()));
        }
        // Work that is already ending gives back its share as well.
        let ending = self.jobs.values().filter(|other| {
            other.account == record.account && other.is_ending() && !other.parts.is_empty()
        });
        excess -= ending
            .map(|other| i64::from(other.accelerators()))
            .sum::<i64>();
        let mut others: Vec<_> = holders
            .jobs
            .iter()
            .filter(|(job, _)| own(job).is_some())
            .collect();
        others.sort_by_key(|(_, holder)| holder.cost);
        for (job, _) in others {
            if excess <= 0 {
                break;
            }
            if victims.insert(*job) {
                excess -= own(job).map_or(0, |other| i64::from(other.accelerators()));
            }
        }
        excess <= 0
    }

    /// Keeps a place for a job and asks its holders to stop.
    pub(crate) fn book(
        &mut self,
        id: u64,
        kind: Kind,
        parts: Vec<Part>,
        victims: &BTreeSet<u64>,
        turn: &mut Turn,
    ) {
        self.stirred = true;
        if kind != Kind::Starving {
            self.drop_soft(id, &parts);
            parts.iter().for_each(|part| turn.view.hold(part));
        }
        for victim in victims {
            let reason = match kind {
                Kind::Claim(_) => Reason::Claim { job: id },
                _ => Reason::Priority { job: id },
            };
            if self
                .jobs
                .get(victim)
                .is_some_and(|record| record.asked.is_none())
            {
                self.ask(*victim, reason, turn);
            }
        }
        let booking = Booking {
            kind,
            parts,
            victims: victims.iter().copied().collect(),
            since: turn.now,
        };
        if !booking.is_soft() && self.is_free(&booking) && self.within_quota(id) {
            self.start(id, booking, turn);
        } else {
            self.bookings.insert(id, booking);
        }
    }

    /// Proposes to stop stoppable work. The firm work stays as it is, since the victim is no part of it.
    pub(crate) fn ask(&mut self, victim: u64, reason: Reason, turn: &mut Turn) {
        let firm = self.firm.take();
        self.reclaim(victim, reason, &mut turn.out);
        self.firm = firm;
    }

    /// Running work that may be stopped and that `choose` accepts, with its loss as cost.
    pub(crate) fn holders(&self, choose: impl Fn(u64, &Record) -> bool) -> Holders {
        let counted: BTreeSet<_> = self
            .firm
            .iter()
            .flat_map(|firm| &firm.counted)
            .map(|counted| counted.job)
            .collect();
        let hard = self.has_fault(Fault::ReclaimNonPreemptible);
        let mut holders = Holders::new(self.fleet.machines().len());
        for (id, record) in &self.jobs {
            let held =
                record.phase == Phase::Held && !record.parts.is_empty() && !record.is_ending();
            if held && !counted.contains(id) && (hard || choose(*id, record)) {
                holders.add(*id, &record.parts, record.loss());
            }
        }
        holders
    }

    /// What is free, or about to be, and not kept for another job.
    pub(crate) fn free_of(&self, turn: &Turn) -> Room {
        let mut free = turn.view.clone();
        for record in self.jobs.values().filter(|record| record.is_ending()) {
            record.parts.iter().for_each(|part| free.free(part));
        }
        self.hold_firm(&mut free);
        free
    }

    /// Takes the accelerators kept for jobs that will start out of `room`.
    pub(crate) fn hold_firm(&self, room: &mut Room) {
        for booking in self.bookings.values().filter(|booking| !booking.is_soft()) {
            for part in &booking.parts {
                let space = &mut room.0[part.machine as usize];
                space.mask = space.mask.without(part.mask);
            }
        }
    }

    /// Gives up reservations on which work now runs that does not give way.
    pub(crate) fn drop_soft(&mut self, id: u64, parts: &[Part]) {
        self.bookings.retain(|other, booking| {
            let meets = booking.parts.iter().any(|part| {
                parts
                    .iter()
                    .any(|new| new.machine == part.machine && new.mask.meets(part.mask))
            });
            *other == id || !booking.is_soft() || !meets
        });
    }
}
