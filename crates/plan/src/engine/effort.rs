use std::ops::AddAssign;

/// Number of entries that the engine has examined, by activity. It tells what steps cost without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Upstreams and runs of the registry that were compared with the engine's own state.
    pub synced: u64,
    /// Runs that were checked for expired leases, unanswered orders and missing progress.
    pub checked: u64,
    /// Planning rounds.
    pub rounds: u64,
    /// Upstreams and runs from which rounds were set up, and upstreams examined for units in them.
    pub planned: u64,
}

impl AddAssign for Effort {
    fn add_assign(&mut self, other: Effort) {
        self.synced += other.synced;
        self.checked += other.checked;
        self.rounds += other.rounds;
        self.planned += other.planned;
    }
}

impl Effort {
    /// All entries examined.
    pub fn total(&self) -> u64 {
        self.synced + self.checked + self.planned
    }
}
