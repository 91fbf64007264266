use {
    super::{Disk, MS, NORMAL_DISK_LATENCY, NORMAL_MAX_DELAY, ScheduledEvent, Simulation, Task},
    quorum::{Body, Member, Message, PersistentState},
    rand::{RngExt, seq::IndexedRandom},
};

impl Simulation {
    /// Injects one fault or a combination of faults.
    pub fn inject_random_fault(&mut self) -> Result<(), String> {
        let count = self.replicas.len();
        let at = self.rng.random_range(0..count);
        let duration = self.rng.random_range(100..4_000) * MS;
        self.stats.faults += 1;
        match self.rng.random_range(0..12) {
            0 => self.crash(at),
            1 => (0..count)
                .filter(|_| self.rng.random_bool(0.7))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|at| self.crash(at)),
            2 => self.isolate(at, duration, true, true),
            3 => {
                let one_way = self.rng.random_bool(0.5);
                self.isolate(at, duration, one_way, !one_way);
            }
            4 => {
                if let Some(leader) = self.leader() {
                    self.isolate(leader, duration, true, true);
                }
            }
            5 => self.replicas[at].paused_until = self.time + duration,
            6 => {
                if let Some(leader) = self.leader() {
                    self.replicas[leader].paused_until = self.time + duration;
                }
            }
            7 => {
                self.loss_rate = self.rng.random_range(0.0..0.3);
                self.max_delay = *[10, 50, 400].choose(&mut self.rng).unwrap_or(&10) * MS;
                self.schedule(duration, ScheduledEvent::ResetNetwork);
            }
            8 => {
                self.replicas[at].max_disk_latency = self.rng.random_range(20..900) * MS;
                self.schedule(duration, ScheduledEvent::ResetDisk { at });
            }
            9 => self.replace_disk(at),
            10 => {
                if let Some(leader) = self.leader()
                    && self.rng.random_bool(0.5)
                {
                    return self.transfer_leadership(leader);
                } else if self.may_lose_disk() {
                    let member = self.oracle.members.1.voters.choose(&mut self.rng).copied();
                    self.operator.task = member.map(Task::RemoveAndAdd);
                }
            }
            _ => self.lose_latest_copies(),
        }
        Ok(())
    }

    /// Isolates one follower, and the leader when that follower returns. In half of the cases the
    /// other follower loses its disk too, which leaves the latest entries on the leader's disk
    /// only.
    fn lose_latest_copies(&mut self) {
        let Some(leader) = self.leader() else { return };
        let count = self.replicas.len();
        let (lagging, disk_lost) = ((leader + 1) % count, (leader + 2) % count);
        let time = self.rng.random_range(300..2_500) * MS;
        self.isolate(lagging, time, true, true);
        if self.rng.random_bool(0.5) {
            self.schedule(time - MS, ScheduledEvent::ReplaceDisk { at: disk_lost });
        }
        self.schedule(
            time - MS,
            ScheduledEvent::Isolate {
                at: leader,
                time: 5_000 * MS,
            },
        );
    }

    /// Drops the messages from or to a replica, or both, for `time`.
    pub fn isolate(&mut self, at: usize, time: u64, outgoing: bool, incoming: bool) {
        let id = at as u64 + 1;
        for other in (1..=self.replicas.len() as u64).filter(|other| *other != id) {
            let until = self.time + time;
            if outgoing {
                self.blocked_links.insert((id, other), until);
            }
            if incoming {
                self.blocked_links.insert((other, id), until);
            }
        }
    }

    /// Crashes a replica and schedules its restart.
    pub fn crash(&mut self, at: usize) {
        if self.replicas[at].node.is_none() {
            return;
        }
        let kept = self.rng.random_range(0..=self.replicas[at].disk.queued());
        self.replicas[at].crash(kept);
        let down = self.rng.random_range(20..2_000) * MS;
        self.schedule(down, ScheduledEvent::Restart { at });
    }

    /// Restarts a process with an empty disk. The operator then makes it a voter in place of the
    /// member with the old disk.
    pub fn replace_disk(&mut self, at: usize) {
        let id = at as u64 + 1;
        let old = Member {
            id,
            incarnation: self.replicas[at].disk.contents.incarnation,
        };
        if !self.may_lose_disk() || !self.oracle.members.1.voters.contains(&old) {
            return;
        }
        self.stats.disks_lost += 1;
        let incarnation = self.rng.random();
        self.replicas[at].crash(0);
        self.replicas[at].disk = Disk::new(PersistentState::empty(incarnation));
        self.operator.task = Some(Task::Add(Member { id, incarnation }));
        let down = self.rng.random_range(20..500) * MS;
        self.schedule(down, ScheduledEvent::Restart { at });
    }

    /// Sometimes crashes a replica right after it has sent a vote or an acknowledgement. In half of
    /// these cases also drops the messages of the receiver, which may become leader or commit
    /// because of the reply. Returns whether the sender crashed.
    pub fn crash_after_reply(&mut self, at: usize, to: u64, message: &Message) -> bool {
        let chance = match message.body {
            Body::VoteReply { granted: true } => 0.1,
            Body::AppendReply { .. } => 0.004,
            _ => return false,
        };
        if self.time >= self.faults_end || !self.rng.random_bool(chance) {
            return false;
        }
        self.replicas[at].crash(0);
        self.schedule(50 * MS, ScheduledEvent::Restart { at });
        if self.rng.random_bool(0.5) {
            self.isolate(to as usize - 1, 4_000 * MS, true, false);
        }
        true
    }

    /// Ends all faults and restarts crashed replicas.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.loss_rate = 0.0;
        self.max_delay = NORMAL_MAX_DELAY;
        for at in 0..self.replicas.len() {
            self.replicas[at].paused_until = 0;
            self.replicas[at].max_disk_latency = NORMAL_DISK_LATENCY;
            self.restart(at);
        }
    }

    fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.leads())
    }
}
