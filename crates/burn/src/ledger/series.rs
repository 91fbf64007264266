use {
    super::{
        reasons::Reasons,
        snapshot::{Counts, Reason},
        tier::{TIERS, Tier},
    },
    indexmap::IndexSet,
    model::account::{Measure, Objective},
};

/// Counters of one objective of one account.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    class: String,
    measure: Measure,
    within_ms: u64,
    began_ms: u64,
    tiers: Vec<Tier>,
    reasons: Reasons,
}

impl Series {
    pub(crate) fn new(objective: &Objective, at_ms: u64) -> Series {
        Series {
            class: objective.class.clone(),
            measure: objective.measure,
            within_ms: objective.within_ms,
            began_ms: at_ms,
            tiers: TIERS
                .iter()
                .map(|&(width, count)| Tier::new(width, count))
                .collect(),
            reasons: Reasons::default(),
        }
    }

    /// Tells whether this series counts for `objective`; the target may differ.
    pub(crate) fn counts_for(&self, objective: &Objective) -> bool {
        self.class == objective.class
            && self.measure == objective.measure
            && self.within_ms == objective.within_ms
    }

    pub(crate) fn good(&mut self, at_ms: u64) {
        for tier in &mut self.tiers {
            tier.add(at_ms, true);
        }
    }

    pub(crate) fn bad(&mut self, at_ms: u64, reason: u8, other: u8) {
        for tier in &mut self.tiers {
            tier.add(at_ms, false);
        }
        self.reasons.add(at_ms, reason, other);
    }

    pub(crate) fn counts(&self, account: &str, at_ms: u64, texts: &IndexSet<String>) -> Counts {
        Counts {
            account: account.to_owned(),
            class: self.class.clone(),
            measure: self.measure,
            within_ms: self.within_ms,
            age_ms: at_ms.saturating_sub(self.began_ms),
            tiers: self.tiers.iter().map(|tier| tier.cells(at_ms)).collect(),
            reasons: self
                .reasons
                .totals(at_ms)
                .into_iter()
                .filter_map(|(id, count)| {
                    let text = texts.get_index(usize::from(id))?.clone();
                    Some(Reason { text, count })
                })
                .collect(),
        }
    }
}
