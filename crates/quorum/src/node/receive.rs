use {
    super::{Node, Role},
    crate::{Body, Member, Message, Outcome, settings::Fault},
    rand::RngExt,
    std::time::Instant,
};

/// Ticks, incoming messages, terms and the leader's lease.
impl Node {
    pub(super) fn tick(&mut self) {
        match &self.role {
            Role::Leader(state) if self.now >= state.next_heartbeat => self.heartbeat(),
            Role::Leader(_) => {}
            _ if self.now >= self.election_deadline => self.start_pre_vote(),
            _ => {}
        }
    }

    pub(super) fn receive(&mut self, from: u64, message: Message) {
        if message.target != self.me.incarnation && !self.has_fault(Fault::ReplacedDisk) {
            return;
        }
        if !message.is_plausible() {
            return;
        }
        let from = self.resolve_sender(from, message.sender);
        match message.body {
            Body::PreVote {
                next_term,
                last_index,
                last_term,
            } => {
                return self.on_pre_vote(from, next_term, last_index, last_term);
            }
            // The voter's term may be lower than ours, because a pre-vote does not raise it.
            Body::PreVoteReply {
                next_term,
                granted: true,
            } => {
                return self.on_pre_vote_grant(from, next_term);
            }
            Body::Vote {
                transfer: false, ..
            } if self.may_support_lease() => return,
            _ => {}
        }
        if message.term > self.term {
            self.become_follower(message.term, None);
        } else if message.term < self.term {
            return self.on_stale_term(from, message.body);
        }
        match message.body {
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. } => {
                self.on_leader_message(from, message.body);
            }
            Body::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(from, last_index, last_term),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::TimeoutNow => self.on_timeout_now(),
            reply => self.on_reply(from, reply),
        }
    }

    /// The member that sent a message.
    fn resolve_sender(&self, id: u64, incarnation: u64) -> Member {
        if self.has_fault(Fault::ReplacedDisk) {
            let known = self.log.members().all();
            if let Some(member) = known.into_iter().find(|member| member.id == id) {
                return member;
            }
        }
        Member { id, incarnation }
    }

    /// Answers a leader or candidate of an earlier term, so that it learns the current one.
    fn on_stale_term(&mut self, from: Member, body: Body) {
        match body {
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. } => {
                self.send(from, Body::HeartbeatReply { round: 0 });
            }
            Body::Vote { .. } => self.send(from, Body::VoteReply { granted: false }),
            _ => {}
        }
    }

    /// Whether a leader may hold a lease that counts an acknowledgement of this replica.
    pub(super) fn may_support_lease(&self) -> bool {
        self.has_leader_role()
            || self.now < self.last_leader_contact + self.settings.election_timeout_min
    }

    /// Becomes a follower in `term`. A leader ends its pending requests.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<Member>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.agreed_index = 0;
            self.leader_round = 0;
            self.persist_hard_state();
        }
        self.leader = leader;
        if let Role::Leader(state) = std::mem::replace(&mut self.role, Role::Follower) {
            self.agreed_index = 0;
            for (_, request_id) in &state.pending_proposals {
                self.respond(*request_id, Outcome::Lost);
            }
            if let Some(request_id) = state.pending_change {
                self.respond(request_id, Outcome::Lost);
            }
            let leader = self.leader();
            for read in &state.pending_reads {
                self.respond(read.request_id, Outcome::NotLeader { leader });
            }
            self.reset_election_deadline();
        }
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let range = self.settings.election_timeout_min..=self.settings.election_timeout_max;
        self.election_deadline = self.now + self.rng.random_range(range);
    }

    /// Whether this replica has the leader role, with or without a valid lease.
    pub(super) fn has_leader_role(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// When the lease of this leader ends; `None` until a majority has answered a heartbeat round.
    fn lease_end(&self) -> Option<Instant> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let majority_start = self.log.members().reached_by_majority(|member| {
            if member == self.me {
                Some(self.now)
            } else {
                state
                    .progress
                    .get(&member)
                    .and_then(|progress| progress.acked_round_start)
            }
        });
        majority_start
            .flatten()
            .map(|start| start + self.settings.lease_duration())
    }

    /// Whether this leader may answer reads without a heartbeat round.
    pub(super) fn has_lease(&self) -> bool {
        if self.has_fault(Fault::ExpiredLease) {
            return true;
        }
        let transferring = match &self.role {
            Role::Leader(state) => state
                .transfer
                .as_ref()
                .is_some_and(|transfer| transfer.timeout_now_sent),
            _ => true,
        };
        !transferring && self.lease_end().is_some_and(|end| self.now < end)
    }

    /// Steps down if no majority has answered for the duration of a lease, because the others are
    /// out of reach or this process was paused. Also ends a leadership transfer that has timed out.
    pub(super) fn check_lease(&mut self) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let mut must_step_down = false;
        if let Some(transfer) = state
            .transfer
            .take_if(|transfer| self.now >= transfer.deadline)
        {
            must_step_down = transfer.timeout_now_sent;
        }
        let first_lease_end = state.elected_at + self.settings.lease_duration();
        let end = self
            .lease_end()
            .map_or(first_lease_end, |end| end.max(first_lease_end));
        if must_step_down || (self.now >= end && !self.has_fault(Fault::ExpiredLease)) {
            self.become_follower(self.term, None);
        }
    }
}
