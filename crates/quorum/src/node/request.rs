use {
    super::{Node, PendingRead, Role},
    crate::{Change, Outcome, Payload, Refusal, settings::Fault},
};

/// Requests from the driver: proposals, membership changes and reads.
impl Node {
    fn respond_not_leader(&mut self, request_id: u64) {
        let leader = self.leader();
        self.respond(request_id, Outcome::NotLeader { leader });
    }

    pub(super) fn propose(&mut self, request_id: u64, command: Vec<u8>) {
        let Role::Leader(state) = &self.role else {
            return self.respond_not_leader(request_id);
        };
        if let Some(transfer) = &state.transfer {
            let leader = Some(transfer.target.id);
            return self.respond(request_id, Outcome::NotLeader { leader });
        }
        if state.uncommitted_bytes + command.len() > self.settings.max_uncommitted_bytes {
            let reason = Refusal::Full;
            return self.respond(request_id, Outcome::Refused { reason });
        }
        let index = self.append_as_leader(Payload::Command(command));
        if let Role::Leader(state) = &mut self.role {
            state.pending_proposals.push_back((index, request_id));
        }
        self.replicate_all();
    }

    pub(super) fn change_members(&mut self, request_id: u64, change: Change) {
        let Role::Leader(state) = &self.role else {
            return self.respond_not_leader(request_id);
        };
        let reason = if self.commit < state.term_start_index || state.transfer.is_some() {
            Some(Refusal::NotReady)
        } else if self.log.members_index() > self.commit || self.log.members().is_joint() {
            Some(Refusal::ChangeInProgress)
        } else {
            self.check_caught_up(change)
        };
        let next = match reason {
            Some(reason) => Err(reason),
            None => change.apply(self.log.members()),
        };
        let members = match next {
            Ok(members) => members,
            Err(reason) => return self.respond(request_id, Outcome::Refused { reason }),
        };
        let is_joint = members.is_joint();
        let index = self.append_as_leader(Payload::Members(members));
        if let Role::Leader(state) = &mut self.role {
            if is_joint {
                state.pending_change = Some(request_id);
            } else {
                state.pending_proposals.push_back((index, request_id));
            }
        }
        self.replicate_all();
    }

    /// Refuses to promote a learner that lacks entries committed by now: as a voter it would count
    /// towards a majority for entries that it does not hold.
    fn check_caught_up(&self, change: Change) -> Option<Refusal> {
        let member = match change {
            Change::Promote(member)
            | Change::Replace {
                learner: member, ..
            } => member,
            Change::Join(_) | Change::Remove(_) => return None,
        };
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if !self.log.members().is_learner(member) || self.has_fault(Fault::EarlyPromotion) {
            return None;
        }
        let matched = state
            .progress
            .get(&member)
            .map_or(0, |progress| progress.matched);
        let needed = self.commit;
        (matched < needed).then_some(Refusal::NotCaughtUp { matched, needed })
    }

    pub(super) fn read(&mut self, request_id: u64) {
        let Role::Leader(state) = &self.role else {
            return self.respond_not_leader(request_id);
        };
        // Before an entry of this term is committed, the commit index may lag behind what an
        // earlier leader acknowledged.
        let index = self.commit.max(state.term_start_index);
        let has_lease = self.has_lease();
        if has_lease && self.applied >= index {
            return self.respond(request_id, Outcome::ReadReady { index });
        }
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let is_first = state.pending_reads.is_empty();
        let round = state.round + 1;
        state.pending_reads.push(PendingRead {
            request_id,
            index,
            round,
        });
        // Reads that arrive while a round is unanswered share the next one.
        if is_first {
            self.heartbeat();
        }
    }

    /// Completes the reads whose index is applied and whose round a majority has answered.
    pub(super) fn finish_reads(&mut self) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if state.pending_reads.is_empty() {
            return;
        }
        let me = self.me;
        let round = self.log.members().reached_by_majority(|member| {
            if member == me {
                u64::MAX
            } else {
                state
                    .progress
                    .get(&member)
                    .map_or(0, |progress| progress.acked_round)
            }
        });
        let (round, applied) = (round.unwrap_or(0), self.applied);
        let ready = state
            .pending_reads
            .extract_if(.., |read| read.round <= round && read.index <= applied);
        for read in ready.collect::<Vec<_>>() {
            self.respond(read.request_id, Outcome::ReadReady { index: read.index });
        }
    }
}
