use {
    super::{Node, PendingRead, Role},
    crate::{Change, Outcome, Payload, Refusal, settings::Fault},
};

/// Requests of the driver.
impl Node {
    fn refuse(&mut self, request_id: u64) {
        let leader = self.leader();
        self.done(request_id, Outcome::NotLeader { leader });
    }

    pub(super) fn propose(&mut self, request_id: u64, command: Vec<u8>) {
        let Role::Leader(lead) = &self.role else {
            return self.refuse(request_id);
        };
        if let Some(handover) = &lead.handover {
            let leader = Some(handover.target.id);
            return self.done(request_id, Outcome::NotLeader { leader });
        }
        if lead.pending_bytes + command.len() > self.settings.max_uncommitted_bytes {
            let reason = Refusal::Full;
            return self.done(request_id, Outcome::Refused { reason });
        }
        let index = self.append_own(Payload::Command(command));
        if let Role::Leader(lead) = &mut self.role {
            lead.proposals.push_back((index, request_id));
        }
        self.replicate_all();
    }

    pub(super) fn change(&mut self, request_id: u64, change: Change) {
        let Role::Leader(lead) = &self.role else {
            return self.refuse(request_id);
        };
        let reason = if self.commit < lead.start || lead.handover.is_some() {
            Some(Refusal::NotReady)
        } else if self.log.members_index() > self.commit || self.log.members().is_joint() {
            Some(Refusal::ChangeInProgress)
        } else {
            self.lacks_entries(change)
        };
        let next = match reason {
            Some(reason) => Err(reason),
            None => change.apply(self.log.members()),
        };
        let members = match next {
            Ok(members) => members,
            Err(reason) => return self.done(request_id, Outcome::Refused { reason }),
        };
        let joint = members.is_joint();
        let index = self.append_own(Payload::Members(members));
        if let Role::Leader(lead) = &mut self.role {
            if joint {
                lead.change = Some(request_id);
            } else {
                lead.proposals.push_back((index, request_id));
            }
        }
        self.replicate_all();
    }

    /// Refuses to promote a learner that does not hold everything committed now: a voter without it
    /// would count as a copy that does not exist.
    fn lacks_entries(&self, change: Change) -> Option<Refusal> {
        let member = match change {
            Change::Promote(member)
            | Change::Replace {
                learner: member, ..
            } => member,
            Change::Join(_) | Change::Remove(_) => return None,
        };
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        if !self.log.members().is_learner(member) || self.has_fault(Fault::EarlyPromotion) {
            return None;
        }
        let matched = lead
            .progress
            .get(&member)
            .map_or(0, |progress| progress.matched);
        let needed = self.commit;
        (matched < needed).then_some(Refusal::NotCaughtUp { matched, needed })
    }

    pub(super) fn read(&mut self, request_id: u64) {
        let Role::Leader(lead) = &self.role else {
            return self.refuse(request_id);
        };
        // Before an entry of this term is committed, the commit index may lag behind what an earlier
        // leader acknowledged.
        let index = self.commit.max(lead.start);
        let lease = self.has_lease();
        if lease && self.applied >= index {
            return self.done(request_id, Outcome::ReadReady { index });
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let first = lead.reads.is_empty();
        let round = lead.round + 1;
        lead.reads.push(PendingRead {
            request_id,
            index,
            round,
        });
        // Reads that arrive while a round is on its way share the next one.
        if first {
            self.heartbeat();
        }
    }

    /// Answers the reads whose index is applied and whose round a majority has answered.
    pub(super) fn finish_reads(&mut self) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if lead.reads.is_empty() {
            return;
        }
        let me = self.me;
        let round = self.log.members().reached_by_majority(|member| {
            if member == me {
                u64::MAX
            } else {
                lead.progress
                    .get(&member)
                    .map_or(0, |progress| progress.round)
            }
        });
        let (round, applied) = (round.unwrap_or(0), self.applied);
        let ready = lead
            .reads
            .extract_if(.., |read| read.round <= round && read.index <= applied);
        for read in ready.collect::<Vec<_>>() {
            self.done(read.request_id, Outcome::ReadReady { index: read.index });
        }
    }
}
