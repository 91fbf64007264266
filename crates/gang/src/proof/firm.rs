use {
    super::Slot,
    crate::fleet::{Part, Room},
    model::shape::Shape,
    std::collections::BTreeMap,
};

/// A job that counts under a guarantee.
#[derive(Clone, Debug)]
pub struct Counted {
    /// The job.
    pub job: u64,
    /// The guarantee.
    pub slot: Slot,
    /// Shape of the job.
    pub shape: Shape,
    /// What it holds, or will hold.
    pub parts: Vec<Part>,
}

/// Work that cannot be taken back for a claim.
#[derive(Clone, Debug, Default)]
pub struct Firm {
    /// Capacity of the workers in service without firm work.
    pub room: Room,
    /// Firm work under a guarantee.
    pub counted: Vec<Counted>,
    /// Accelerators of firm work beyond the guarantees, by index of the account in the configuration.
    pub beyond: BTreeMap<u32, u32>,
}

impl Firm {
    /// Adds work under a guarantee.
    pub fn count(&mut self, counted: Counted) {
        for part in &counted.parts {
            self.room.hold(part);
        }
        self.counted.push(counted);
    }

    /// Adds work beyond the guarantees of the account.
    pub fn add(&mut self, account: Option<u32>, parts: &[Part]) {
        for part in parts {
            self.room.hold(part);
        }
        if let Some(account) = account {
            let held: u32 = parts.iter().map(|part| part.mask.len()).sum();
            *self.beyond.entry(account).or_default() += held;
        }
    }

    /// How many jobs count under a guarantee.
    pub fn used(&self, slot: Slot) -> usize {
        self.counted
            .iter()
            .filter(|counted| counted.slot == slot)
            .count()
    }
}
