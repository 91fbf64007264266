use {
    super::Node,
    crate::{Body, Effect, Entry, Member, Message, Outcome},
};

/// Emits effects and tracks which entries are on disk.
impl Node {
    pub(super) fn send(&mut self, to: Member, body: Body) {
        self.effects.push(Effect::Send {
            to: to.id,
            message: Message {
                term: self.term,
                sender: self.me.incarnation,
                target: to.incarnation,
                body,
            },
        });
    }

    pub(super) fn respond(&mut self, request_id: u64, outcome: Outcome) {
        self.effects.push(Effect::Respond {
            request_id,
            outcome,
        });
    }

    pub(super) fn persist_hard_state(&mut self) {
        let current = self.hard_state();
        // A new term and the vote in it share one write.
        if let Some(Effect::Persist { hard_state, .. }) = self.effects.last_mut() {
            *hard_state = Some(current);
            return;
        }
        self.effects.push(Effect::Persist {
            hard_state: Some(current),
            truncate: None,
            entries: Vec::new(),
        });
    }

    /// Appends to the log in memory; the entry is written at the end of the step.
    pub(super) fn append(&mut self, entry: Entry) {
        self.first_unwritten.get_or_insert(entry.index);
        self.log.append(entry);
    }

    /// Removes the entries from `index` on; they are removed on disk at the end of the step.
    pub(super) fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.truncate_from = Some(index);
        self.limit_synced(index - 1);
    }

    /// Entries after `index` were replaced: neither past nor outstanding writes prove that the new
    /// ones are on disk.
    pub(super) fn limit_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index);
        for (_, proven) in &mut self.pending_syncs {
            *proven = (*proven).min(index);
        }
    }

    /// Emits one `Persist` for all changes of the log in this step.
    pub(super) fn flush_entries(&mut self) {
        let truncate = self.truncate_from.take();
        let entries = match self.first_unwritten.take() {
            Some(first) => self.log.entries_from(first).to_vec(),
            None => Vec::new(),
        };
        if let Some(last) = entries.last() {
            self.pending_syncs.push_back((last.index, last.index));
        } else if truncate.is_none() {
            return;
        }
        self.effects.push(Effect::Persist {
            hard_state: None,
            truncate,
            entries,
        });
    }

    /// Handles a finished disk effect. It also covers all earlier ones, because the disk queue is
    /// ordered.
    pub(super) fn on_synced(&mut self, index: u64) {
        let Some(position) = self
            .pending_syncs
            .iter()
            .position(|(reported, _)| *reported == index)
        else {
            return;
        };
        for (_, proven) in self.pending_syncs.drain(..=position) {
            self.synced_index = self.synced_index.max(proven);
        }
        if self.has_leader_role() {
            self.advance_commit();
        } else {
            self.acknowledge();
        }
        self.apply();
    }
}
