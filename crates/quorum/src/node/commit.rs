use {
    super::{Node, Role},
    crate::{Effect, Entry, Outcome, Payload, Snapshot, settings::Fault},
    std::sync::Arc,
};

/// Commit, application and compaction.
impl Node {
    /// Last entry that this replica may acknowledge or count as its own.
    pub(super) fn countable(&self) -> u64 {
        if self.has_fault(Fault::AckBeforeSync) {
            return self.log.last_index();
        }
        self.synced
    }

    /// Commits what a majority has on disk.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let mine = self.countable();
        let reached = self.log.members().reached_by_majority(|member| {
            if member == self.me {
                mine
            } else {
                lead.progress
                    .get(&member)
                    .map_or(0, |progress| progress.matched)
            }
        });
        let reached = reached.unwrap_or(0);
        // Entries of earlier terms are committed only together with one of this term: a majority
        // that holds an older entry does not prevent the election of a leader without it.
        if reached > self.commit && self.log.term(reached) == Some(self.term) {
            self.commit = reached;
            self.apply();
            self.finish_change();
        }
    }

    /// Hands out committed entries that are on the local disk.
    pub(super) fn apply(&mut self) {
        let end = self.commit.min(self.countable());
        while self.applied < end {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            let (index, size) = (entry.index, entry.size());
            self.effects.push(Effect::Apply { entry });
            if let Role::Leader(lead) = &mut self.role {
                lead.pending_bytes = lead.pending_bytes.saturating_sub(size);
                if let Some((_, request_id)) = lead.proposals.pop_front_if(|(at, _)| *at <= index) {
                    self.done(request_id, Outcome::Committed { index });
                }
            }
        }
        self.finish_reads();
    }

    /// Appends the final member list once a joint one is committed, and leaves once a list without
    /// this replica is committed.
    fn finish_change(&mut self) {
        if self.log.members_index() > self.commit {
            return;
        }
        let members = self.log.members().clone();
        if members.is_joint() {
            let Role::Leader(lead) = &mut self.role else {
                return;
            };
            let request_id = lead.change.take();
            let mut members = members;
            members.outgoing.clear();
            let index = self.append_own(Payload::Members(members));
            if let (Role::Leader(lead), Some(request_id)) = (&mut self.role, request_id) {
                lead.proposals.push_back((index, request_id));
            }
            self.replicate_all();
        } else if !members.is_voter(self.me) && self.is_leading() {
            // The followers learn of the commit before they lose their leader.
            self.heartbeat();
            self.follow(self.term, None);
        }
    }

    /// Appends an entry of this leader's term and returns its index.
    pub(super) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let is_list = matches!(payload, Payload::Members(_));
        let entry = Entry {
            index,
            term: self.term,
            payload,
        };
        if let Role::Leader(lead) = &mut self.role {
            lead.pending_bytes += entry.size();
        }
        self.append(entry);
        if is_list {
            self.update_progress(index);
        }
        index
    }

    pub(super) fn compact(&mut self, index: u64, term: u64, data: Vec<u8>) {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index <= covered || index > self.applied || self.log.term(index) != Some(term) {
            return;
        }
        let members = self.log.members_at(index).clone();
        let snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.effects.push(Effect::SaveSnapshot {
            snapshot: snapshot.clone(),
        });
        self.snapshot = Some(Arc::new(snapshot));
        let kept = index.saturating_sub(self.settings.retained_entries);
        self.log.compact(kept.min(self.transfer_floor()));
    }
}
