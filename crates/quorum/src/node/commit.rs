use {
    super::{Node, Role},
    crate::{Effect, Entry, Outcome, Payload, Snapshot, settings::Fault},
    std::sync::Arc,
};

/// Commit, application of entries and log compaction.
impl Node {
    /// Last entry that is on the local disk, so that this replica may acknowledge and count it.
    pub(super) fn durable_index(&self) -> u64 {
        if self.has_fault(Fault::AckBeforeSync) {
            return self.log.last_index();
        }
        self.synced_index
    }

    /// Commits the entries that a majority has on disk.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let own_index = self.durable_index();
        let majority_index = self.log.members().reached_by_majority(|member| {
            if member == self.me {
                own_index
            } else {
                state
                    .progress
                    .get(&member)
                    .map_or(0, |progress| progress.matched)
            }
        });
        let majority_index = majority_index.unwrap_or(0);
        // Entries of earlier terms are committed only together with one of this term: an older
        // entry on a majority of disks does not prevent the election of a leader without it.
        if majority_index > self.commit && self.log.term(majority_index) == Some(self.term) {
            self.commit = majority_index;
            self.apply();
            self.finish_member_change();
        }
    }

    /// Emits `Apply` for committed entries that are on the local disk, and completes their
    /// proposals.
    pub(super) fn apply(&mut self) {
        let end = self.commit.min(self.durable_index());
        while self.applied < end {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            let (index, size) = (entry.index, entry.size());
            self.effects.push(Effect::Apply { entry });
            if let Role::Leader(state) = &mut self.role {
                state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(size);
                if let Some((_, request_id)) =
                    state.pending_proposals.pop_front_if(|(at, _)| *at <= index)
                {
                    self.respond(request_id, Outcome::Committed { index });
                }
            }
        }
        self.finish_reads();
    }

    /// Appends the final member list once a joint one is committed, and steps down once a list
    /// without this replica as a voter is committed.
    fn finish_member_change(&mut self) {
        if self.log.members_index() > self.commit {
            return;
        }
        let members = self.log.members().clone();
        if members.is_joint() {
            let Role::Leader(state) = &mut self.role else {
                return;
            };
            let request_id = state.pending_change.take();
            let mut members = members;
            members.outgoing.clear();
            let index = self.append_as_leader(Payload::Members(members));
            if let (Role::Leader(state), Some(request_id)) = (&mut self.role, request_id) {
                state.pending_proposals.push_back((index, request_id));
            }
            self.replicate_all();
        } else if !members.is_voter(self.me) && self.has_leader_role() {
            // Tells the followers that the list is committed before they lose their leader.
            self.heartbeat();
            self.become_follower(self.term, None);
        }
    }

    /// Appends an entry of this leader's term and returns its index.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let is_member_list = matches!(payload, Payload::Members(_));
        let entry = Entry {
            index,
            term: self.term,
            payload,
        };
        if let Role::Leader(state) = &mut self.role {
            state.uncommitted_bytes += entry.size();
        }
        self.append(entry);
        if is_member_list {
            self.update_progress(index);
        }
        index
    }

    /// Emits `SaveSnapshot` for a snapshot of the state machine and compacts the log. A snapshot
    /// that is not newer than the current one or does not match the applied log is ignored.
    pub(super) fn on_snapshot_taken(&mut self, index: u64, term: u64, data: Vec<u8>) {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index <= snapshot_index || index > self.applied || self.log.term(index) != Some(term) {
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
        let compact_to = index.saturating_sub(self.settings.retained_entries);
        self.log.compact(compact_to.min(self.compaction_limit()));
    }
}
