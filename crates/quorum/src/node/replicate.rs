use {
    super::{Mode, Node, Progress, Role},
    crate::{Body, Entry, Member},
    std::time::{Duration, Instant},
};

/// Replication on the leader.
impl Node {
    /// Starts a heartbeat round and sends it to all other members.
    pub(super) fn heartbeat(&mut self) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let round = state.start_round(self.now);
        state.next_heartbeat = self.now + self.settings.heartbeat_interval;
        let commit = self.commit;
        let targets: Vec<(Member, u64)> = state
            .progress
            .iter()
            .map(|(member, progress)| (*member, progress.matched))
            .collect();
        for (member, matched) in targets {
            let commit = commit.min(matched);
            self.send(member, Body::Heartbeat { commit, round });
        }
        self.finish_reads();
    }

    /// Adapts the progress records to a new member list; added members start at the entry `next`.
    pub(super) fn update_progress(&mut self, next: u64) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let all = self.log.members().all();
        state.progress.retain(|member, _| all.contains(member));
        for member in all {
            if member != self.me && !state.progress.contains_key(&member) {
                state.progress.insert(member, Progress::new(next));
            }
        }
    }

    pub(super) fn replicate_all(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        for member in state.progress.keys().copied().collect::<Vec<_>>() {
            self.replicate(member);
        }
    }

    /// Sends what the replica lacks, as far as flow control allows.
    pub(super) fn replicate(&mut self, to: Member) {
        while let Some(body) = self.next_message(to) {
            self.send(to, body);
        }
    }

    /// The next `Append` or `Chunk` to send; `None` if nothing is to be sent now.
    fn next_message(&mut self, to: Member) -> Option<Body> {
        let now = self.now;
        let last = self.log.last_index();
        let timeout = self.settings.resend_timeout();
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        let round = state.round;
        let progress = state.progress.get_mut(&to)?;
        let acked_round_start = progress.acked_round_start;
        let lost = |sent_at: Instant| is_lost(sent_at, acked_round_start, now, timeout);
        match &mut progress.mode {
            Mode::Probe {
                sent_at: Some(sent_at),
            } if !lost(*sent_at) => return None,
            Mode::Probe { .. } => {}
            Mode::Pipeline(inflight) => {
                if inflight.oldest_sent_at().is_some_and(lost) {
                    progress.probe(progress.matched + 1);
                } else if progress.next > last
                    || inflight.bytes() >= self.settings.max_inflight_bytes
                {
                    return None;
                }
            }
            Mode::Snapshot { .. } => return self.resend_chunk(to),
        }
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.start_snapshot(to);
        };
        let entries = self
            .log
            .batch(progress.next, self.settings.max_batch_bytes)
            .to_vec();
        match &mut progress.mode {
            Mode::Probe { sent_at } => *sent_at = Some(now),
            Mode::Pipeline(inflight) => {
                let bytes = entries.iter().map(Entry::size).sum();
                progress.next += entries.len() as u64;
                inflight.push(progress.next - 1, bytes, now);
            }
            Mode::Snapshot { .. } => {}
        }
        Some(Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        })
    }

    pub(super) fn on_reply(&mut self, from: Member, body: Body) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let round = match body {
            Body::AppendReply { round, .. }
            | Body::AppendReject { round, .. }
            | Body::HeartbeatReply { round }
            | Body::ChunkReply { round, .. } => round,
            _ => return,
        };
        state.record_reply(from, round);
        match body {
            Body::AppendReply { matched, .. } => self.on_matched(from, matched),
            Body::AppendReject {
                rejected,
                hint_index,
                hint_term,
                ..
            } => {
                self.on_reject(from, rejected, hint_index, hint_term);
            }
            Body::ChunkReply { index, offset, .. } => self.on_chunk_reply(from, index, offset),
            _ => {}
        }
        self.replicate(from);
        self.finish_reads();
    }

    fn on_matched(&mut self, from: Member, matched: u64) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        if matched <= last && progress.advance(matched) {
            self.advance_commit();
            self.continue_leader_transfer(from);
        }
    }

    /// Goes back to the last entry that may agree with the replica's log.
    fn on_reject(&mut self, from: Member, rejected: u64, hint_index: u64, hint_term: u64) {
        let (agreed, _) = self.log.last_with_term_at_most(hint_index, hint_term);
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        let expected = match &progress.mode {
            Mode::Probe { .. } => rejected + 1 == progress.next,
            Mode::Pipeline(_) => true,
            Mode::Snapshot { .. } => false,
        };
        // A rejection of an acknowledged entry is an old message, or comes from a disk that lost
        // data. Another probe would be rejected again without end, and each duplicate of a
        // rejection would add one more.
        if expected && rejected > progress.matched {
            let next = agreed.min(rejected.saturating_sub(1)) + 1;
            progress.probe(next);
        }
    }
}

/// Whether a message sent at `sent_at` counts as lost: the replica has answered a heartbeat of a
/// round started since then, but not that message within `timeout`. A replica that answers no
/// heartbeat gets nothing again, because traffic between regions is charged by volume.
pub(super) fn is_lost(
    sent_at: Instant,
    acked_round_start: Option<Instant>,
    now: Instant,
    timeout: Duration,
) -> bool {
    now >= sent_at + timeout
        && acked_round_start.is_some_and(|acked_round_start| acked_round_start >= sent_at)
}
