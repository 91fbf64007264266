/// Most control instances remembered. Eight at most are set aside for control, and as many have been replaced.
const MAX_KNOWN: usize = 16;

/// Which control instance to call next.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    seeds: Vec<u64>,
    members: Vec<u64>,
    leader: Option<u64>,
    next: usize,
}

impl Targets {
    /// Replaces the addresses that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<u64>) {
        self.seeds = seeds;
    }

    /// Replaces the members that the leader named.
    pub fn set_members(&mut self, mut members: Vec<u64>) {
        members.truncate(MAX_KNOWN);
        self.members = members;
    }

    /// Remembers who leads.
    pub fn set_leader(&mut self, leader: Option<u64>) {
        self.leader = leader;
    }

    /// Forgets a leader that did not answer.
    pub fn fail(&mut self, id: u64) {
        if self.leader == Some(id) {
            self.leader = None;
        }
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// The leader if known, otherwise each known instance in turn; none of `except`.
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
        self.next = (self.next + 1) % others.len();
        Some(others[self.next])
    }
}
