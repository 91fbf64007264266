use {
    super::{LeaderTransfer, Node, Role},
    crate::{Body, Member},
};

/// Leadership transfer.
impl Node {
    /// Starts a transfer to the voter `to`, or without one to the voter with the longest matching
    /// log.
    pub(super) fn start_leader_transfer(&mut self, to: Option<u64>) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if state.transfer.is_some() {
            return;
        }
        let voters = &self.log.members().voters;
        let target = state
            .progress
            .iter()
            .filter(|(member, _)| voters.contains(member))
            .filter(|(member, _)| to.is_none_or(|to| to == member.id))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(member, _)| *member);
        let Some(target) = target else {
            return;
        };
        state.transfer = Some(LeaderTransfer {
            target,
            deadline: self.now + self.settings.election_timeout_min,
            timeout_now_sent: false,
        });
        self.continue_leader_transfer(target);
    }

    /// Tells `member` to start an election if it is the target and holds the whole log.
    pub(super) fn continue_leader_transfer(&mut self, member: Member) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let matched = state
            .progress
            .get(&member)
            .map_or(0, |progress| progress.matched);
        if let Some(transfer) = &mut state.transfer
            && transfer.target == member
            && matched == last
            && !transfer.timeout_now_sent
        {
            transfer.timeout_now_sent = true;
            self.send(member, Body::TimeoutNow);
        }
    }
}
