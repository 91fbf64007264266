use {
    super::Node,
    crate::{Body, Effect, Entry, Member, Message, Outcome},
};

/// Effects and the bookkeeping of what is on disk.
impl Node {
    pub(super) fn send(&mut self, to: Member, body: Body) {
        self.effects.push(Effect::Send {
            to: to.id,
            message: Message {
                term: self.term,
                sender_incarnation: self.me.incarnation,
                target_incarnation: to.incarnation,
                body,
            },
        });
    }

    pub(super) fn done(&mut self, request_id: u64, outcome: Outcome) {
        self.effects.push(Effect::Respond {
            request_id,
            outcome,
        });
    }

    pub(super) fn persist_hard_state(&mut self) {
        let now = self.hard_state();
        // A new term and the vote in it need one write.
        if let Some(Effect::Persist { hard_state, .. }) = self.effects.last_mut() {
            *hard_state = Some(now);
            return;
        }
        self.effects.push(Effect::Persist {
            hard_state: Some(now),
            truncate: None,
            entries: Vec::new(),
        });
    }

    /// Appends to the log in memory; the entry is written at the end of the step.
    pub(super) fn append(&mut self, entry: Entry) {
        self.unsaved.get_or_insert(entry.index);
        self.log.append(entry);
    }

    pub(super) fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.truncated = Some(index);
        self.lower_synced(index - 1);
    }

    /// Outstanding writes no longer prove entries after `index`.
    pub(super) fn lower_synced(&mut self, index: u64) {
        self.synced = self.synced.min(index);
        for (_, proven) in &mut self.unsynced {
            *proven = (*proven).min(index);
        }
    }

    pub(super) fn flush_entries(&mut self) {
        let truncate = self.truncated.take();
        let entries = match self.unsaved.take() {
            Some(first) => self.log.tail(first).to_vec(),
            None => Vec::new(),
        };
        if let Some(last) = entries.last() {
            self.unsynced.push_back((last.index, last.index));
        } else if truncate.is_none() {
            return;
        }
        self.effects.push(Effect::Persist {
            hard_state: None,
            truncate,
            entries,
        });
    }

    pub(super) fn on_synced(&mut self, index: u64) {
        let Some(position) = self
            .unsynced
            .iter()
            .position(|(reported, _)| *reported == index)
        else {
            return;
        };
        for (_, proven) in self.unsynced.drain(..=position) {
            self.synced = self.synced.max(proven);
        }
        if self.is_leading() {
            self.advance_commit();
        } else {
            self.acknowledge();
        }
        self.apply();
    }
}
