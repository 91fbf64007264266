use {
    crate::{Shortfall, fleet::Allocation},
    model::config::Config,
};

/// Index of the account in the configuration and of the guarantee in the account.
pub type GuaranteeId = (u32, u32);

/// Where one guaranteed gang fits.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Account and index of the guarantee that the gang belongs to.
    pub guarantee_id: GuaranteeId,
    /// One allocation for each task.
    pub allocations: Vec<Allocation>,
    /// Id of the job that counts against the guarantee and uses this placement, if any.
    pub job: Option<u64>,
}

/// Disjoint placements for all guarantees at once, and the guarantees that cannot be met.
#[derive(Clone, Debug, Default)]
pub struct Proof {
    /// One placement for each guaranteed gang that fits.
    pub placements: Vec<Placement>,
    /// The guaranteed gangs that do not fit.
    pub shortfalls: Vec<Shortfall>,
}

impl Proof {
    /// Keeps the placements of guarantees whose shape and place are the same in both configurations,
    /// with the indices of `next`.
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
