use {super::Engine, work::registry::Placement};

/// Placements in a proposal without a known outcome.
#[derive(Clone, Debug)]
pub(super) struct Proposed {
    pub placements: Vec<Placement>,
    /// Time of the registry when they were proposed. Their runs are assigned then or later.
    pub since_ms: u64,
}

impl Engine {
    /// Placements in proposals without a known outcome.
    pub(super) fn placements_under_way(&self) -> impl Iterator<Item = &Placement> {
        let proposed = self.proposed_placements.values();
        proposed.flat_map(|proposed| &proposed.placements)
    }
}
