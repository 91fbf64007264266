use {
    super::{LeaderState, Node, Role},
    crate::{Body, Entry, Member, Payload, settings::Fault},
};

/// Elections with a pre-vote.
impl Node {
    /// Starts a pre-vote if this replica is a voter. It becomes a candidate only if a majority
    /// would vote for it, so a replica that cannot win does not raise the term.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.leader = None;
        if !self.log.members().is_voter(self.me) {
            return;
        }
        self.role = Role::PreCandidate(vec![self.me]);
        if self.has_vote_majority() {
            return self.start_election(false);
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for member in self.other_voters() {
            let next_term = self.settings.next_term(self.term);
            self.send(
                member,
                Body::PreVote {
                    next_term,
                    last_index,
                    last_term,
                },
            );
        }
    }

    /// Becomes a candidate and asks for votes in a new term.
    fn start_election(&mut self, transfer: bool) {
        self.reset_election_deadline();
        self.term = self.settings.next_term(self.term);
        self.vote = Some(self.me);
        self.leader = None;
        self.agreed_index = 0;
        self.leader_round = 0;
        self.persist_hard_state();
        self.role = Role::Candidate(vec![self.me]);
        if self.has_vote_majority() {
            return self.become_leader();
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for member in self.other_voters() {
            self.send(
                member,
                Body::Vote {
                    last_index,
                    last_term,
                    transfer,
                },
            );
        }
    }

    fn become_leader(&mut self) {
        let start = self.log.last_index() + 1;
        self.leader = Some(self.me);
        self.incoming_snapshot = None;
        self.role = Role::Leader(Box::new(LeaderState::new(start, self.now)));
        self.append(Entry {
            index: start,
            term: self.term,
            payload: Payload::Empty,
        });
        self.update_progress(start);
        self.heartbeat();
        self.replicate_all();
    }

    fn other_voters(&self) -> Vec<Member> {
        let members = self.log.members();
        let mut others = members.all();
        others.retain(|member| *member != self.me && members.is_voter(*member));
        others
    }

    fn has_vote_majority(&self) -> bool {
        let (Role::PreCandidate(votes) | Role::Candidate(votes)) = &self.role else {
            return false;
        };
        self.log
            .members()
            .reached_by_majority(|member| votes.contains(&member))
            == Some(true)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(&mut self, from: Member, next_term: u64, index: u64, term: u64) {
        let granted = next_term > self.term
            && !self.may_support_lease()
            && !self.voted_recently()
            && self.is_up_to_date(index, term);
        self.send(from, Body::PreVoteReply { next_term, granted });
    }

    /// Whether a candidate that this replica voted for may have won although its first heartbeat
    /// has not arrived. Half of the shortest election timeout covers the round trip and the sync of
    /// a vote.
    fn voted_recently(&self) -> bool {
        let vote_deadline = self
            .last_vote_at
            .map(|voted_at| voted_at + self.settings.election_timeout_min / 2);
        vote_deadline.is_some_and(|deadline| self.now < deadline)
    }

    pub(super) fn on_pre_vote_grant(&mut self, from: Member, next_term: u64) {
        let next = self.settings.next_term(self.term);
        if let Role::PreCandidate(votes) = &mut self.role
            && next_term == next
            && !votes.contains(&from)
        {
            votes.push(from);
            if self.has_vote_majority() {
                self.start_election(false);
            }
        }
    }

    /// Votes for a candidate of the current term.
    pub(super) fn on_vote(&mut self, from: Member, last_index: u64, last_term: u64) {
        let can_vote = self.vote.is_none_or(|vote| vote == from);
        let granted =
            can_vote && !self.has_leader_role() && self.is_up_to_date(last_index, last_term);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.last_vote_at = Some(self.now);
            self.persist_hard_state();
            self.reset_election_deadline();
        }
        self.send(from, Body::VoteReply { granted });
        if granted && self.has_fault(Fault::VoteBeforeSync) {
            // Puts the reply before the write of the vote.
            self.effects.rotate_right(1);
        }
    }

    pub(super) fn on_vote_reply(&mut self, from: Member, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role
            && granted
            && !votes.contains(&from)
        {
            votes.push(from);
            if self.has_vote_majority() {
                self.become_leader();
            }
        }
    }

    /// Starts an election without a pre-vote: the leader transfers its leadership to this replica.
    pub(super) fn on_timeout_now(&mut self) {
        if matches!(self.role, Role::Follower) && self.log.members().is_voter(self.me) {
            self.start_election(true);
        }
    }
}
