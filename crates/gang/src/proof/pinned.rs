use {
    super::GuaranteeId,
    crate::fleet::{Allocation, Capacity},
    model::shape::Shape,
    std::collections::BTreeMap,
};

/// A job that counts against a guarantee.
#[derive(Clone, Debug)]
pub struct Covered {
    /// Id of the job.
    pub job: u64,
    /// Account and index of the guarantee it counts against.
    pub guarantee_id: GuaranteeId,
    /// Shape that the job was submitted with; may be smaller than the guaranteed shape.
    pub shape: Shape,
    /// Its present allocations, or those booked for it.
    pub allocations: Vec<Allocation>,
}

/// Work that cannot be reclaimed to make room for other accounts' claims: jobs that count against a
/// guarantee, and all other jobs that are not preemptible.
#[derive(Clone, Debug, Default)]
pub struct Pinned {
    /// Capacity of the workers in service minus pinned work.
    pub capacity: Capacity,
    /// Jobs that count against a guarantee.
    pub covered: Vec<Covered>,
    /// Accelerators of pinned work outside the guarantees, by index of the account in the
    /// configuration.
    pub uncovered: BTreeMap<u32, u32>,
}

impl Pinned {
    /// Adds a job that counts against a guarantee.
    pub fn add_covered(&mut self, covered: Covered) {
        for allocation in &covered.allocations {
            self.capacity.hold(allocation);
        }
        self.covered.push(covered);
    }

    /// Adds a job that counts against no guarantee; `account` is `None` if it is not in the
    /// configuration.
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

    /// Number of jobs that count against a guarantee.
    pub fn count_covered(&self, guarantee_id: GuaranteeId) -> usize {
        self.covered
            .iter()
            .filter(|covered| covered.guarantee_id == guarantee_id)
            .count()
    }
}
