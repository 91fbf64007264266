use {
    super::{Node, Role},
    crate::{Body, Entry, Member, settings::Fault},
};

/// The follower's side of replication.
impl Node {
    /// Handles a message of the leader of the current term.
    pub(super) fn on_leader(&mut self, from: Member, body: Body) {
        if self.is_leading() {
            return;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.heard = self.now;
        self.reset_deadline();
        match body {
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.heard_round = self.heard_round.max(round);
                let contiguous = entries
                    .iter()
                    .zip(prev_index + 1..)
                    .all(|(entry, index)| entry.index == index);
                if !contiguous {
                    return;
                }
                if self.log_agrees(prev_index, prev_term) {
                    self.take_entries(prev_index, entries, commit);
                } else {
                    let (hint_index, hint_term) = self
                        .log
                        .last_not_after(prev_index.saturating_sub(1), prev_term);
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
                self.heard_round = self.heard_round.max(round);
                self.learn_commit(commit);
                self.send(from, Body::HeartbeatReply { round });
            }
            Body::Chunk { round, .. } => {
                self.heard_round = self.heard_round.max(round);
                self.on_chunk(from, body);
            }
            _ => {}
        }
    }

    /// Entries up to the commit index agree with every later leader.
    fn log_agrees(&self, index: u64, term: u64) -> bool {
        index <= self.commit || self.log.term(index) == Some(term)
    }

    fn take_entries(&mut self, prev_index: u64, entries: Vec<Entry>, commit: u64) {
        let end = prev_index + entries.len() as u64;
        let mut new = false;
        for entry in entries {
            if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            self.append(entry);
            new = true;
        }
        self.verified = self.verified.max(end);
        self.learn_commit(commit);
        // New entries are acknowledged once they are synced.
        if !new || self.has_fault(Fault::AckBeforeSync) {
            self.acknowledge();
        }
    }

    pub(super) fn learn_commit(&mut self, commit: u64) {
        let commit = commit.min(self.verified);
        if commit > self.commit {
            self.commit = commit;
            self.apply();
        }
    }

    /// Tells the leader which entries are synced here and agree with its log.
    pub(super) fn acknowledge(&mut self) {
        if let Some(leader) = self.leader {
            let matched = self.verified.min(self.countable());
            let round = self.heard_round;
            self.send(leader, Body::AppendReply { matched, round });
        }
    }
}
