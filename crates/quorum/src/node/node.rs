use {
    super::{Partial, Role},
    crate::{
        Effect, Event, HardState, Member, Members, PersistentState, Settings, Snapshot, log::Log,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// One replica of one group.
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
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) role: Role,
    pub(super) leader: Option<Member>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    /// Last entry on the local disk.
    pub(super) synced: u64,
    /// Disk effects that were not reported as synced: reported index, and last entry they still prove.
    pub(super) unsynced: VecDeque<(u64, u64)>,
    /// First entry of this step that must be written.
    pub(super) unsaved: Option<u64>,
    pub(super) truncated: Option<u64>,
    /// Follower: last entry known to agree with the leader of this term.
    pub(super) verified: u64,
    /// Follower: latest round heard from the leader of this term.
    pub(super) heard_round: u64,
    /// When the leader was last heard, or this replica started.
    pub(super) heard: Instant,
    /// When this replica last voted for another one. The winner's first heartbeat follows.
    pub(super) voted: Option<Instant>,
    /// When a replica that does not lead starts an election.
    pub(super) deadline: Instant,
    pub(super) partial: Option<Partial>,
    pub(super) effects: Vec<Effect>,
    #[cfg(feature = "faults")]
    pub(super) fault: Option<crate::Fault>,
}

impl Node {
    /// Starts a replica from what its disk holds. `seed` drives the election jitter.
    ///
    /// It grants no vote before the shortest election timeout has passed, because it may have heard
    /// from a leader just before it stopped.
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
            term: persistent.hard_state.term.max(log.last_term()),
            vote: persistent
                .hard_state
                .vote
                .filter(|_| persistent.hard_state.term >= log.last_term()),
            synced: log.last_index(),
            log,
            snapshot,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            unsynced: VecDeque::new(),
            unsaved: None,
            truncated: None,
            verified: 0,
            heard_round: 0,
            heard: now,
            voted: None,
            deadline: now,
            partial: None,
            effects: Vec::new(),
            #[cfg(feature = "faults")]
            fault: None,
        };
        node.reset_deadline();
        node
    }

    /// Handles one event. `now` must not go back between steps of one `Node`.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        self.begin(now);
        match event {
            Event::Tick => self.tick(),
            Event::Message { from, message } => self.receive(from, message),
            Event::Propose {
                request_id,
                command,
            } => self.propose(request_id, command),
            Event::Read { request_id } => self.read(request_id),
            Event::Synced { index } => self.on_synced(index),
            Event::SnapshotTaken { index, term, data } => self.compact(index, term, data),
            Event::ChangeMembers { request_id, change } => self.change(request_id, change),
        }
        self.end()
    }

    /// Hands leadership over to the voter `to`, or to the voter that holds most of the log.
    ///
    /// Does nothing if this replica does not lead or there is no such voter. Proposals are refused
    /// until the transfer ends. If the target does not take over within one election timeout, the
    /// leader resumes, or steps down if the target was already told to start its election.
    pub fn transfer_leadership(&mut self, to: Option<u64>, now: Instant) -> Vec<Effect> {
        self.begin(now);
        self.hand_over(to);
        self.end()
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<u64> {
        self.leader.map(|leader| leader.id)
    }

    /// Whether this replica led with a valid lease at the last step, with every entry of earlier terms
    /// applied.
    pub fn is_leader(&self) -> bool {
        match &self.role {
            Role::Leader(lead) => self.applied >= lead.start && self.has_lease(),
            _ => false,
        }
    }

    /// This replica's id and incarnation.
    pub fn member(&self) -> Member {
        self.me
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Last entry handed out as `Apply`, or covered by the snapshot.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// The latest member list in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// First entry of the log that is kept in memory.
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }

    /// Plants a fault.
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

    fn begin(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.check_lease();
    }

    fn end(&mut self) -> Vec<Effect> {
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
