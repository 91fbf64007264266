use {super::History, model::job::Class, std::collections::BTreeMap};

/// Use of capacity by one account.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Accelerator seconds divided by weight; the account with the least is served first.
    pub weighted_seconds: f64,
    /// Accelerators held or proposed.
    pub held: u32,
    /// Jobs that have not ended.
    pub jobs: u32,
    /// Run times by class.
    pub history: BTreeMap<Class, History>,
}
