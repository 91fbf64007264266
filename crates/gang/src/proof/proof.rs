use {
    crate::{Shortfall, fleet::Part},
    model::config::Config,
};

/// Index of an account in the configuration and of a guarantee in the account.
pub type Slot = (u32, u32);

/// The place of one guaranteed gang.
#[derive(Clone, Debug)]
pub struct Set {
    /// The guarantee.
    pub slot: Slot,
    /// Where the gang fits.
    pub parts: Vec<Part>,
    /// The job that counts under the guarantee and uses this set, if any.
    pub job: Option<u64>,
}

/// Disjoint sets for all guarantees at once, and what could not be proved.
#[derive(Clone, Debug, Default)]
pub struct Proof {
    /// One set per guaranteed gang that fits.
    pub sets: Vec<Set>,
    /// What does not fit.
    pub missing: Vec<Shortfall>,
}

impl Proof {
    /// The sets of guarantees that exist in both configurations, with the indices of `next`.
    pub fn remap(&self, last: &Config, next: &Config) -> Proof {
        let remap = |set: &Set| {
            let (name, account) = last.accounts.get_index(set.slot.0 as usize)?;
            let (guarantee, old) = account.guarantees.get_index(set.slot.1 as usize)?;
            let (index, _, account) = next.accounts.get_full(name)?;
            let (nth, _, new) = account.guarantees.get_full(guarantee)?;
            (old.shape == new.shape && old.place == new.place).then(|| Set {
                slot: (index as u32, nth as u32),
                ..set.clone()
            })
        };
        Proof {
            sets: self.sets.iter().filter_map(remap).collect(),
            missing: self.missing.clone(),
        }
    }
}
