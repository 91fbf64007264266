use {
    super::{Mode, Node, Progress, Role, is_lost},
    crate::{Body, Effect, Member, Members, Snapshot, log::Log},
    std::sync::Arc,
};

/// Largest part of a snapshot that one message between instances may carry; limits
/// [`Settings::snapshot_chunk_bytes`](crate::Settings::snapshot_chunk_bytes).
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A snapshot that is being received from the leader.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    members: Members,
    /// Size of the whole data in bytes.
    total: u64,
    /// CRC-32 of the whole data.
    checksum: u32,
    /// The part received so far, without a gap.
    data: Vec<u8>,
}

/// Transfer of snapshots between leader and followers.
impl Node {
    /// Starts to send the latest snapshot to a replica that needs compacted entries.
    pub(super) fn start_snapshot(&mut self, to: Member) -> Option<Body> {
        let snapshot = Arc::clone(self.snapshot.as_ref()?);
        let checksum = crc32fast::hash(&snapshot.data);
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        let progress = state.progress.get_mut(&to)?;
        progress.mode = Mode::Snapshot {
            snapshot,
            checksum,
            offset: 0,
            sent_at: self.now,
        };
        self.next_chunk(to)
    }

    /// Returns the current chunk again if it counts as lost.
    pub(super) fn resend_chunk(&mut self, to: Member) -> Option<Body> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let progress = state.progress.get(&to)?;
        match &progress.mode {
            Mode::Snapshot { sent_at, .. }
                if is_lost(
                    *sent_at,
                    progress.acked_round_start,
                    self.now,
                    self.settings.resend_timeout(),
                ) =>
            {
                self.next_chunk(to)
            }
            _ => None,
        }
    }

    /// Highest index up to which the log may be compacted. Entries after a snapshot that a live
    /// replica is receiving are kept: without them it would need the next snapshot at once, and
    /// would never catch up if snapshots are frequent.
    pub(super) fn compaction_limit(&self) -> u64 {
        let Role::Leader(state) = &self.role else {
            return u64::MAX;
        };
        let timeout = self.settings.election_timeout_max;
        let snapshot_index = |progress: &Progress| match &progress.mode {
            Mode::Snapshot { snapshot, .. }
                if progress
                    .acked_round_start
                    .is_some_and(|acked_round_start| self.now < acked_round_start + timeout) =>
            {
                Some(snapshot.index)
            }
            _ => None,
        };
        state
            .progress
            .values()
            .filter_map(snapshot_index)
            .min()
            .unwrap_or(u64::MAX)
    }

    fn next_chunk(&mut self, to: Member) -> Option<Body> {
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        let round = state.round;
        let progress = state.progress.get_mut(&to)?;
        let Mode::Snapshot {
            snapshot,
            checksum,
            offset,
            sent_at,
        } = &mut progress.mode
        else {
            return None;
        };
        *sent_at = self.now;
        let start = (*offset as usize).min(snapshot.data.len());
        let size = self.settings.snapshot_chunk_bytes.clamp(1, MAX_CHUNK_BYTES);
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

    /// Sends the next chunk, from the offset that the replica has reached.
    pub(super) fn on_chunk_reply(&mut self, from: Member, index: u64, received: u64) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        let Mode::Snapshot {
            snapshot, offset, ..
        } = &mut progress.mode
        else {
            return;
        };
        // A reply that repeats the known offset is a duplicate. Sending a chunk for it would double
        // the traffic for the rest of the transfer.
        if snapshot.index != index || *offset == received {
            return;
        }
        *offset = received;
        if received < snapshot.data.len() as u64
            && let Some(body) = self.next_chunk(from)
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
            // The log holds the snapshot's last entry, so it agrees up to there.
            self.incoming_snapshot = None;
            self.agreed_index = self.agreed_index.max(index);
            self.update_commit(index);
            return self.acknowledge();
        }
        let same = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            (
                incoming.index,
                incoming.term,
                incoming.total,
                incoming.checksum,
            ) == (index, term, total, checksum)
        });
        if !same {
            let data = Vec::new();
            self.incoming_snapshot = Some(IncomingSnapshot {
                index,
                term,
                members,
                total,
                checksum,
                data,
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&data);
        }
        let received = incoming.data.len() as u64;
        if received >= total {
            return self.install_snapshot(from, round);
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

    fn install_snapshot(&mut self, from: Member, round: u64) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let IncomingSnapshot {
            index,
            term,
            members,
            checksum,
            data,
            ..
        } = incoming;
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
        self.log = Log::after_snapshot(index, term, members.clone());
        self.commit = index;
        self.applied = index;
        self.agreed_index = index;
        self.limit_synced(0);
        self.pending_syncs.push_back((index, index));
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
