use {
    super::{IncomingSnapshot, Role},
    crate::{
        Effect, Event, HardState, Member, Members, PersistentState, Settings, Snapshot, log::Log,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// Consensus state machine of one replica of one group.
#[derive(Debug)]
pub struct Node {
    pub(super) me: Member,
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    /// Time of the current step.
    pub(super) now: Instant,
    pub(super) term: u64,
    pub(super) vote: Option<Member>,
    pub(super) log: Log,
    /// Latest snapshot taken or installed.
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) role: Role,
    /// Leader of the current term, this replica included; `None` if not known.
    pub(super) leader: Option<Member>,
    /// Last entry known to be committed.
    pub(super) commit: u64,
    /// Last entry handed out as `Apply`, or covered by the snapshot.
    pub(super) applied: u64,
    /// Last entry of the log that is synced to the local disk.
    pub(super) synced_index: u64,
    /// Disk effects that are not reported as synced, oldest first: the index that [`Event::Synced`]
    /// will report, and the last entry of the current log that this report proves to be on disk.
    pub(super) pending_syncs: VecDeque<(u64, u64)>,
    /// First entry appended in this step; written at its end.
    pub(super) first_unwritten: Option<u64>,
    /// Index from which this step removed entries of the log; removed on disk at its end.
    pub(super) truncate_from: Option<u64>,
    /// On a follower: last entry known to agree with the log of this term's leader.
    pub(super) agreed_index: u64,
    /// On a follower: latest heartbeat round received from this term's leader.
    pub(super) leader_round: u64,
    /// When the last message of a leader arrived, or when this replica started.
    pub(super) last_leader_contact: Instant,
    /// When this replica last voted for another one.
    pub(super) last_vote_at: Option<Instant>,
    /// When a replica that does not lead starts an election.
    pub(super) election_deadline: Instant,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Effects of the current step.
    pub(super) effects: Vec<Effect>,
    #[cfg(feature = "faults")]
    pub(super) fault: Option<crate::Fault>,
}

impl Node {
    /// Starts a replica from the contents of its disk. `seed` initializes the random election
    /// timeouts.
    ///
    /// The replica grants no vote before the shortest election timeout has passed, because it may
    /// have acknowledged a leader's heartbeat just before it stopped.
    ///
    /// # Panics
    ///
    /// Panics if the stored log has a gap.
    pub fn new(
        id: u64,
        settings: Settings,
        mut persistent: PersistentState,
        seed: u64,
        now: Instant,
    ) -> Node {
        let log = Log::new(&mut persistent);
        let snapshot = persistent.snapshot.map(Arc::new);
        let applied = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let mut node = Node {
            me: Member {
                id,
                incarnation: persistent.incarnation,
            },
            settings,
            rng: StdRng::seed_from_u64(seed),
            now,
            term: persistent.hard.term.max(log.last_term()),
            vote: persistent
                .hard
                .vote
                .filter(|_| persistent.hard.term >= log.last_term()),
            synced_index: log.last_index(),
            log,
            snapshot,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            pending_syncs: VecDeque::new(),
            first_unwritten: None,
            truncate_from: None,
            agreed_index: 0,
            leader_round: 0,
            last_leader_contact: now,
            last_vote_at: None,
            election_deadline: now,
            incoming_snapshot: None,
            effects: Vec::new(),
            #[cfg(feature = "faults")]
            fault: None,
        };
        node.reset_election_deadline();
        node
    }

    /// Handles one event and returns the effects to perform. `now` must not go back between steps
    /// of one `Node`.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        self.begin_step(now);
        match event {
            Event::Tick => self.tick(),
            Event::Message { from, message } => self.receive(from, message),
            Event::Propose {
                request_id,
                command,
            } => self.propose(request_id, command),
            Event::Read { request_id } => self.read(request_id),
            Event::Synced { index } => self.on_synced(index),
            Event::SnapshotTaken { index, term, data } => self.on_snapshot_taken(index, term, data),
            Event::ChangeMembers { request_id, change } => self.change_members(request_id, change),
        }
        self.finish_step()
    }

    /// Transfers leadership to the voter `to`, or without one to the voter that holds most of the
    /// log.
    ///
    /// Does nothing if this replica does not lead or there is no such voter. Until the transfer
    /// ends, proposals get [`Outcome::NotLeader`](crate::Outcome::NotLeader) with the target. If
    /// the target does not take over within the shortest election timeout, the leader resumes, or
    /// steps down if it has already told the target to start an election, because that election
    /// does not wait for the end of the lease.
    pub fn transfer_leadership(&mut self, to: Option<u64>, now: Instant) -> Vec<Effect> {
        self.begin_step(now);
        self.start_leader_transfer(to);
        self.finish_step()
    }

    /// Id of the leader of the current term, if known.
    pub fn leader(&self) -> Option<u64> {
        self.leader.map(|leader| leader.id)
    }

    /// Whether this replica led with a valid lease at the last step and had applied every entry of
    /// earlier terms.
    pub fn is_leader(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.applied >= state.term_start_index && self.has_lease(),
            _ => false,
        }
    }

    /// This replica's id and incarnation.
    pub fn member(&self) -> Member {
        self.me
    }

    /// The highest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry handed out as `Apply` or covered by the snapshot.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// The latest member list in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the first entry that is kept in memory; earlier ones are compacted.
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }

    /// Makes this replica violate the protocol from now on; `None` restores correct behaviour.
    #[cfg(feature = "faults")]
    pub fn inject_fault(&mut self, fault: Option<crate::Fault>) {
        self.fault = fault;
    }

    #[cfg(feature = "faults")]
    pub(super) fn has_fault(&self, fault: crate::settings::Fault) -> bool {
        self.fault == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    pub(super) fn has_fault(&self, _fault: crate::settings::Fault) -> bool {
        false
    }

    fn begin_step(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.check_lease();
    }

    fn finish_step(&mut self) -> Vec<Effect> {
        self.flush_entries();
        std::mem::take(&mut self.effects)
    }

    pub(super) fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
        }
    }
}
