use {
    super::{Handover, Node, Role},
    crate::{Body, Member},
};

/// Transfer of leadership.
impl Node {
    pub(super) fn hand_over(&mut self, to: Option<u64>) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if lead.handover.is_some() {
            return;
        }
        let voters = &self.log.members().voters;
        let target = lead
            .progress
            .iter()
            .filter(|(member, _)| voters.contains(member))
            .filter(|(member, _)| to.is_none_or(|to| to == member.id))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(member, _)| *member);
        let Some(target) = target else {
            return;
        };
        lead.handover = Some(Handover {
            target,
            deadline: self.now + self.settings.election_timeout_min,
            sent: false,
        });
        self.continue_handover(target);
    }

    /// Tells the target to start its election once it holds the whole log.
    pub(super) fn continue_handover(&mut self, member: Member) {
        let last = self.log.last_index();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let matched = lead
            .progress
            .get(&member)
            .map_or(0, |progress| progress.matched);
        if let Some(handover) = &mut lead.handover
            && handover.target == member
            && matched == last
            && !handover.sent
        {
            handover.sent = true;
            self.send(member, Body::TimeoutNow);
        }
    }
}
