use {
    crate::{Shortfall, fleet::Allocation},
    model::config::Config,
};

/// Index of an account in the configuration and of a guarantee in the account.
pub type GuaranteeId = (u32, u32);

/// The place of one guaranteed gang.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The guarantee.
    pub guarantee_id: GuaranteeId,
    /// Where the gang fits.
    pub allocations: Vec<Allocation>,
    /// The job that counts under the guarantee and uses this set, if any.
    pub job: Option<u64>,
}

/// Disjoint sets for all guarantees at once, and what could not be proved.
#[derive(Clone, Debug, Default)]
pub struct Proof {
    /// One set per guaranteed gang that fits.
    pub placements: Vec<Placement>,
    /// What does not fit.
    pub shortfalls: Vec<Shortfall>,
}

impl Proof {
    /// The sets of guarantees that exist in both configurations, with the indices of `next`.
    pub fn remap(&self, last: &Config, next: &Config) -> Proof {
        let remap = |placement: &Placement| {
            let (name, account) = last.accounts.get_index(placement.guarantee_id.0 as usize)?;
            let (guarantee, old) = account
                .guarantees
                .get_index(placement.guarantee_id.1 as usize)?;
            let (index, _, account) = next.accounts.get_full(name)?;
            let (nth, _, new) = account.guarantees.get_full(guarantee)?;
            (old.shape == new.shape && old.place == new.place).then(|| Placement {
                guarantee_id: (index as u32, nth as u32),
                ..placement.clone()
            })
        };
        Proof {
            placements: self.placements.iter().filter_map(remap).collect(),
            shortfalls: self.shortfalls.clone(),
        }
    }
}
