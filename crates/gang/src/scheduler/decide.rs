use {
    super::{Scheduler, Turn},
    crate::{
        Decision,
        fault::Fault,
        fleet::{Filter, Room},
        reclaim::{Holders, Kind, Plan, Search},
        record::{Key, Record},
    },
    model::job::Class,
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
        time::Instant,
    },
};

/// Seconds of the present use of accelerators that count into the share of an account, beside what
/// was served. Without it a burst would hand the whole cluster to the account that was served least.
const SHARE_AHEAD_SECONDS: f64 = 60.0;

/// The first job of a queue: rank of its class, share of its account, submission and job.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Head {
    rank: u8,
    share: f64,
    /// Accelerators of a sweep, larger first; nothing for other work.
    size: Reverse<u32>,
    key: Key,
}

impl Eq for Head {}

impl PartialOrd for Head {
    fn partial_cmp(&self, other: &Head) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Head {
    fn cmp(&self, other: &Head) -> Ordering {
        let by_share = self.share.total_cmp(&other.share);
        self.rank
            .cmp(&other.rank)
            .then(by_share)
            .then(self.size.cmp(&other.size))
            .then(self.key.cmp(&other.key))
    }
}

impl Scheduler {
    /// Returns the proposals for the present state; call it again while it returns any.
    pub fn decide(&mut self, now: Instant) -> Vec<Decision> {
        if !std::mem::take(&mut self.stirred) {
            return Vec::new();
        }
        while let Some(id) = self.queue.due(now) {
            self.enqueue(id);
        }
        let mut out = Vec::new();
        self.withdraw(&mut out);
        self.judge(now, &mut out);
        self.refresh();
        let mut turn = Turn {
            now,
            view: self.view(),
            closed: self.closed(),
            blocked: Vec::new(),
            tries: self.settings.max_attempted_placements,
            sweeps: None,
            out,
        };
        self.progress(&mut turn);
        self.claims(false, &mut turn);
        self.serve_queues(&mut turn);
        self.claims(true, &mut turn);
        self.reserve(&mut turn);
        self.compact(&mut turn);
        self.tell(&mut turn.out);
        self.stirred |= !turn.out.is_empty() || turn.tries == 0;
        turn.out
    }

    /// Places the first jobs of the queues, by class, then by share of their accounts.
    fn serve_queues(&mut self, turn: &mut Turn) {
        let mut heap = BinaryHeap::new();
        for (.., key) in self.queue.heads() {
            if let Some(record) = self.jobs.get(&key.1) {
                heap.push(Reverse(self.head(record, key, turn.now)));
            }
        }
        while let Some(Reverse(head)) = heap.pop() {
            let Some(record) = self.jobs.get(&head.key.1) else {
                continue;
            };
            let present = self.head(record, head.key, turn.now);
            if present > head {
                heap.push(Reverse(present));
                continue;
            }
            let (account, class, ask) = (record.account, record.class, record.ask());
            let booked = self
                .bookings
                .get(&head.key.1)
                .is_some_and(|booking| !booking.is_soft());
            let done = booked || self.give_up(head.key.1, turn) || self.serve_one(head, turn);
            if !done {
                turn.blocked.push(head.key.1);
                continue;
            }
            if let Some(key) = self.queue.after(account, class, &ask, head.key)
                && let Some(record) = self.jobs.get(&key.1)
            {
                heap.push(Reverse(self.head(record, key, turn.now)));
            }
        }
    }

    fn head(&self, record: &Record, key: Key, now: Instant) -> Head {
        let ledger = &self.ledgers[record.account as usize];
        let weight = self
            .account(record.account)
            .map_or(1, |account| account.weight.max(1));
        let ahead = f64::from(ledger.held) * SHARE_AHEAD_SECONDS / f64::from(weight);
        let rank = self.rank(record, now);
        Head {
            rank,
            share: ledger.served + ahead,
            size: Reverse(if rank == 2 { record.accelerators() } else { 0 }),
            key,
        }
    }

    /// Order of service of a class; a sweep that has waited long enough is served as standard work.
    pub(crate) fn rank(&self, record: &Record, now: Instant) -> u8 {
        match record.class {
            Class::Urgent => 0,
            Class::Standard => 1,
            Class::Sweep
                if self.waited_ms(record, now)
                    >= self.settings.sweep_promotion_age.as_millis() as u64 =>
            {
                1
            }
            Class::Sweep => 2,
        }
    }

    /// Time since the submission of a job.
    pub(crate) fn waited_ms(&self, record: &Record, now: Instant) -> u64 {
        self.wall_at(now)
            .unwrap_or(0)
            .saturating_sub(record.submitted_ms)
    }

    fn serve_one(&mut self, head: Head, turn: &mut Turn) -> bool {
        let id = head.key.1;
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let tried = (record.account, record.class, record.ask());
        if self.tried.get(&tried) == Some(&self.epoch) {
            return false;
        }
        // What is left over follows in the next call.
        if turn.tries == 0 {
            return false;
        }
        turn.tries -= 1;
        let done =
            self.within_quota(id) && (self.borrow(id, turn) || self.precede(id, head.rank, turn));
        if !done {
            if self.tried.len() > MOST_TRIED {
                self.tried.clear();
            }
            self.tried.insert(tried, self.epoch);
        }
        done
    }

    /// Places a job on free room, beyond the guarantees of its account.
    fn borrow(&mut self, id: u64, turn: &mut Turn) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let centres = self.open_centres(record, turn, true);
        if record.is_stoppable() || self.has_fault(Fault::BackfillNonPreemptible) {
            let hard = !record.is_stoppable();
            return match self.find(&turn.view, record, &record.shape, &centres) {
                Some(parts) if !hard || self.admit(id, None, &parts) => {
                    self.place(id, parts, None, turn)
                }
                _ => false,
            };
        }
        // Work that cannot be stopped keeps clear of the proof where it can.
        let room = self.view_of(id, turn);
        let mut clear = room.clone();
        for set in self.proof.sets.iter().filter(|set| set.job.is_none()) {
            set.parts.iter().for_each(|part| clear.hold(part));
        }
        for room in [clear, room] {
            let Some(record) = self.jobs.get(&id) else {
                return false;
            };
            if let Some(parts) = self.find(&room, record, &record.shape, &centres)
                && self.admit(id, None, &parts)
            {
                return self.place(id, parts, None, turn);
            }
        }
        false
    }

    /// Lets urgent and standard work go before running sweeps that may be stopped.
    fn precede(&mut self, id: u64, rank: u8, turn: &mut Turn) -> bool {
        let Some(record) = self.jobs.get(&id).filter(|_| rank < 2) else {
            return false;
        };
        let sweeps = match turn.sweeps.take() {
            Some((least, sweeps)) if least == rank => sweeps,
            _ => self.sweeps(rank, turn),
        };
        let plan = self.plan_before(id, record, &sweeps, turn);
        turn.sweeps = Some((rank, sweeps));
        let Some(plan) = plan else {
            return false;
        };
        if !record.is_stoppable() && !self.admit(id, None, &plan.parts) {
            return false;
        }
        self.book(id, Kind::Firm, plan.parts, &plan.holders, turn);
        // The next one must not count on the sweeps that were asked to stop for this one.
        turn.sweeps = None;
        true
    }

    /// Running sweeps that may be stopped for work of a rank below theirs. Those on reserved places
    /// give way to the reservation.
    fn sweeps(&self, rank: u8, turn: &Turn) -> Holders {
        self.holders(|job, other| {
            other.class == Class::Sweep
                && other.borrowed
                && other.is_stoppable()
                && self.rank(other, turn.now) > rank
                && !self.is_reserved(u64::MAX, job)
        })
    }

    fn plan_before(&self, id: u64, record: &Record, sweeps: &Holders, turn: &Turn) -> Option<Plan> {
        if sweeps.jobs.is_empty() {
            return None;
        }
        let centres = self.open_centres(record, turn, true);
        let mut free = self.free_of(turn);
        self.hold_soft(id, &mut free);
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: sweeps,
            waits: false,
        };
        let avoid = self.avoided(record, &record.shape, &centres);
        let filter = Filter {
            centres: &centres,
            avoid,
        };
        search.plans(&record.shape, filter).into_iter().next()
    }

    /// The view for work that cannot be stopped: without the places reserved for others.
    pub(crate) fn view_of(&self, id: u64, turn: &Turn) -> Room {
        let mut room = turn.view.clone();
        self.hold_soft(id, &mut room);
        room
    }

    /// Takes the places reserved for other jobs out of `room`.
    pub(crate) fn hold_soft(&self, id: u64, room: &mut Room) {
        for (other, booking) in &self.bookings {
            if *other != id && booking.is_soft() {
                for part in &booking.parts {
                    let space = &mut room.0[part.machine as usize];
                    space.mask = space.mask.without(part.mask);
                    space.cpus -= i64::from(part.cpus);
                    space.memory_mb -= i64::from(part.memory_mb);
                }
            }
        }
    }
}

/// Asks remembered as not fitting; bounds the memory of bursts with many different shapes.
const MOST_TRIED: usize = 16_384;
