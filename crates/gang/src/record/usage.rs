use {super::History, model::job::Class, std::collections::BTreeMap};

/// Resource usage of one account.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Accelerator seconds used, divided by the weight of the account. The account with the lowest
    /// value is served first.
    pub weighted_seconds: f64,
    /// Accelerators allocated to its jobs, including proposed placements.
    pub held: u32,
    /// Number of jobs that have not ended.
    pub jobs: u32,
    /// Recent run times by class.
    pub history: BTreeMap<Class, History>,
}
