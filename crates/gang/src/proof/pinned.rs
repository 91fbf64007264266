use {
    super::GuaranteeId,
    crate::fleet::{Allocation, Capacity},
    model::shape::Shape,
    std::collections::BTreeMap,
};

/// A job that counts under a guarantee.
#[derive(Clone, Debug)]
pub struct Covered {
    /// The job.
    pub job: u64,
    /// The guarantee.
    pub guarantee_id: GuaranteeId,
    /// Shape of the job.
    pub shape: Shape,
    /// What it holds, or will hold.
    pub allocations: Vec<Allocation>,
}

/// Work that cannot be taken back for a claim.
#[derive(Clone, Debug, Default)]
pub struct Pinned {
    /// Capacity of the workers in service without firm work.
    pub capacity: Capacity,
    /// Firm work under a guarantee.
    pub covered: Vec<Covered>,
    /// Accelerators of firm work beyond the guarantees, by index of the account in the configuration.
    pub uncovered: BTreeMap<u32, u32>,
}

impl Pinned {
    /// Adds work under a guarantee.
    pub fn add_covered(&mut self, covered: Covered) {
        for allocation in &covered.allocations {
            self.capacity.hold(allocation);
        }
        self.covered.push(covered);
    }

    /// Adds work beyond the guarantees of the account.
    pub fn add_uncovered(&mut self, account: Option<u32>, allocations: &[Allocation]) {
        for allocation in allocations {
            self.capacity.hold(allocation);
        }
        if let Some(account) = account {
            let held: u32 = allocations
                .iter()
                .map(|allocation| allocation.mask.len())
                .sum();
            *self.uncovered.entry(account).or_default() += held;
        }
    }

    /// How many jobs count under a guarantee.
    pub fn count_covered(&self, guarantee_id: GuaranteeId) -> usize {
        self.covered
            .iter()
            .filter(|covered| covered.guarantee_id == guarantee_id)
            .count()
    }
}
