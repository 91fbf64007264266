use {
    super::{Node, Role},
    crate::{Body, Entry, Member, settings::Fault},
};

/// Replication on a follower.
impl Node {
    /// Handles a message from the leader of the current term.
    pub(super) fn on_leader_message(&mut self, from: Member, body: Body) {
        if self.has_leader_role() {
            return;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.last_leader_contact = self.now;
        self.reset_election_deadline();
        match body {
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.leader_round = self.leader_round.max(round);
                let contiguous = entries
                    .iter()
                    .zip(prev_index + 1..)
                    .all(|(entry, index)| entry.index == index);
                if !contiguous {
                    return;
                }
                if self.log_agrees(prev_index, prev_term) {
                    self.accept_entries(prev_index, entries, commit);
                } else {
                    let (hint_index, hint_term) = self
                        .log
                        .last_with_term_at_most(prev_index.saturating_sub(1), prev_term);
                    let rejected = prev_index;
                    self.send(
                        from,
                        Body::AppendReject {
                            rejected,
                            hint_index,
                            hint_term,
                            round,
                        },
                    );
                }
            }
            Body::Heartbeat { commit, round } => {
                self.leader_round = self.leader_round.max(round);
                self.update_commit(commit);
                self.send(from, Body::HeartbeatReply { round });
            }
            Body::Chunk { round, .. } => {
                self.leader_round = self.leader_round.max(round);
                self.on_chunk(from, body);
            }
            _ => {}
        }
    }

    /// Whether the entry at `index` agrees with the leader's. Entries up to the commit index agree
    /// with the log of every later leader.
    fn log_agrees(&self, index: u64, term: u64) -> bool {
        index <= self.commit || self.log.term(index) == Some(term)
    }

    fn accept_entries(&mut self, prev_index: u64, entries: Vec<Entry>, commit: u64) {
        let end = prev_index + entries.len() as u64;
        let mut has_new = false;
        for entry in entries {
            if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            self.append(entry);
            has_new = true;
        }
        self.agreed_index = self.agreed_index.max(end);
        self.update_commit(commit);
        // New entries are acknowledged once they are synced.
        if !has_new || self.has_fault(Fault::AckBeforeSync) {
            self.acknowledge();
        }
    }

    /// Raises the commit index, at most to the last entry that agrees with the leader's log.
    pub(super) fn update_commit(&mut self, commit: u64) {
        let commit = commit.min(self.agreed_index);
        if commit > self.commit {
            self.commit = commit;
            self.apply();
        }
    }

    /// Tells the leader up to which entry the local log is synced and agrees with its own.
    pub(super) fn acknowledge(&mut self) {
        if let Some(leader) = self.leader {
            let matched = self.agreed_index.min(self.durable_index());
            let round = self.leader_round;
            self.send(leader, Body::AppendReply { matched, round });
        }
    }
}
