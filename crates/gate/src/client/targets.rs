/// Limit of remembered members: up to eight control instances, and as many that are being replaced.
const MAX_MEMBERS: usize = 16;

/// The known control instances, and which of them to call next.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    seeds: Vec<u64>,
    members: Vec<u64>,
    leader: Option<u64>,
    /// Position of the last instance picked without a known leader.
    last_picked: usize,
}

impl Targets {
    /// Replaces the instances that come from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<u64>) {
        self.seeds = seeds;
    }

    /// Replaces the members of the control group as reported by the leader.
    pub fn set_members(&mut self, mut members: Vec<u64>) {
        members.truncate(MAX_MEMBERS);
        self.members = members;
    }

    /// Sets the leader; `None` if it is not known.
    pub fn set_leader(&mut self, leader: Option<u64>) {
        self.leader = leader;
    }

    /// Records that an instance did not answer; if it was the leader, the leader is unknown from now on.
    pub fn fail(&mut self, id: u64) {
        if self.leader == Some(id) {
            self.leader = None;
        }
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Returns the leader unless it is unknown or in `except`; otherwise the next known instance that is not in
    /// `except`.
    pub fn pick(&mut self, except: &[u64]) -> Option<u64> {
        if let Some(leader) = self.leader.filter(|leader| !except.contains(leader)) {
            return Some(leader);
        }
        let members = self.members.iter();
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.members.contains(seed));
        let others = members.chain(seeds).filter(|id| !except.contains(id));
        let others: Vec<u64> = others.copied().collect();
        if others.is_empty() {
            return None;
        }
        self.last_picked = (self.last_picked + 1) % others.len();
        Some(others[self.last_picked])
    }
}
