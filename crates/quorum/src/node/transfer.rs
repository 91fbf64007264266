use {
    super::{Mode, Node, Progress, Role, is_overdue},
    crate::{Body, Effect, Member, Members, Snapshot, log::Log},
    std::sync::Arc,
};

/// Largest part of a snapshot that one message between instances may carry.
const CHUNK_BYTES_MAX: usize = 64 * 1024;

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct Partial {
    index: u64,
    term: u64,
    members: Members,
    total: u64,
    checksum: u32,
    data: Vec<u8>,
}

/// Transfer of snapshots.
impl Node {
    /// Starts to send the latest snapshot; the replica needs entries that were dropped.
    pub(super) fn start_snapshot(&mut self, to: Member) -> Option<Body> {
        let snapshot = Arc::clone(self.snapshot.as_ref()?);
        let checksum = crc32fast::hash(&snapshot.data);
        let Role::Leader(lead) = &mut self.role else {
            return None;
        };
        let progress = lead.progress.get_mut(&to)?;
        progress.mode = Mode::Snapshot {
            snapshot,
            checksum,
            offset: 0,
            sent: self.now,
        };
        self.chunk(to)
    }

    /// Sends the current chunk again if it has had no answer for some time.
    pub(super) fn resend_chunk(&mut self, to: Member) -> Option<Body> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let progress = lead.progress.get(&to)?;
        match &progress.mode {
            Mode::Snapshot { sent, .. }
                if is_overdue(
                    *sent,
                    progress.acked,
                    self.now,
                    self.settings.resend_timeout(),
                ) =>
            {
                self.chunk(to)
            }
            _ => None,
        }
    }

    /// Entries after this index follow a snapshot that a live replica is receiving. Without them that
    /// replica would need the next snapshot at once, and never catch up if snapshots are frequent.
    pub(super) fn transfer_floor(&self) -> u64 {
        let Role::Leader(lead) = &self.role else {
            return u64::MAX;
        };
        let timeout = self.settings.election_timeout_max;
        let floor = |progress: &Progress| match &progress.mode {
            Mode::Snapshot { snapshot, .. }
                if progress
                    .acked
                    .is_some_and(|acked| self.now < acked + timeout) =>
            {
                Some(snapshot.index)
            }
            _ => None,
        };
        lead.progress
            .values()
            .filter_map(floor)
            .min()
            .unwrap_or(u64::MAX)
    }

    fn chunk(&mut self, to: Member) -> Option<Body> {
        let Role::Leader(lead) = &mut self.role else {
            return None;
        };
        let round = lead.round;
        let progress = lead.progress.get_mut(&to)?;
        let Mode::Snapshot {
            snapshot,
            checksum,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return None;
        };
        *sent = self.now;
        let start = (*offset as usize).min(snapshot.data.len());
        let size = self.settings.snapshot_chunk_bytes.clamp(1, CHUNK_BYTES_MAX);
        let end = (start + size).min(snapshot.data.len());
        Some(Body::Chunk {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            total: snapshot.data.len() as u64,
            checksum: *checksum,
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        })
    }

    /// Continues where the replica stands.
    pub(super) fn on_chunk_reply(&mut self, from: Member, index: u64, received: u64) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        let Mode::Snapshot {
            snapshot, offset, ..
        } = &mut progress.mode
        else {
            return;
        };
        // An answer that repeats the known offset is a duplicate; sending again would double the
        // traffic for the rest of the transfer.
        if snapshot.index != index || *offset == received {
            return;
        }
        *offset = received;
        if received < snapshot.data.len() as u64
            && let Some(body) = self.chunk(from)
        {
            self.send(from, body);
        }
    }

    pub(super) fn on_chunk(&mut self, from: Member, body: Body) {
        let Body::Chunk {
            index,
            term,
            members,
            total,
            checksum,
            offset,
            data,
            round,
        } = body
        else {
            return;
        };
        if index <= self.commit || self.log.term(index) == Some(term) {
            // The entry is here and agrees, so the log before it does too.
            self.partial = None;
            self.verified = self.verified.max(index);
            self.learn_commit(index);
            return self.acknowledge();
        }
        let same = self.partial.as_ref().is_some_and(|partial| {
            (partial.index, partial.term, partial.total, partial.checksum)
                == (index, term, total, checksum)
        });
        if !same {
            let data = Vec::new();
            self.partial = Some(Partial {
                index,
                term,
                members,
                total,
                checksum,
                data,
            });
        }
        let Some(partial) = &mut self.partial else {
            return;
        };
        if offset == partial.data.len() as u64 {
            partial.data.extend_from_slice(&data);
        }
        let received = partial.data.len() as u64;
        if received >= total {
            return self.restore(from, round);
        }
        self.send(
            from,
            Body::ChunkReply {
                index,
                offset: received,
                round,
            },
        );
    }

    fn restore(&mut self, from: Member, round: u64) {
        let Some(partial) = self.partial.take() else {
            return;
        };
        let Partial {
            index,
            term,
            members,
            checksum,
            data,
            ..
        } = partial;
        if crc32fast::hash(&data) != checksum {
            return self.send(
                from,
                Body::ChunkReply {
                    index,
                    offset: 0,
                    round,
                },
            );
        }
        self.log = Log::after(index, term, members.clone());
        self.commit = index;
        self.applied = index;
        self.verified = index;
        self.lower_synced(0);
        self.unsynced.push_back((index, index));
        let snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.snapshot = Some(Arc::new(snapshot.clone()));
        self.effects.push(Effect::InstallSnapshot { snapshot });
    }
}
