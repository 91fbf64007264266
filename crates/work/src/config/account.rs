use serde::{Deserialize, Serialize};

/// A client account, which owns jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name that is unique within the configuration.
    pub name: String,
    /// API keys that identify callers as this account.
    pub keys: Vec<String>,
    /// Number of accelerators reserved for its jobs of priority 0; 0 for none.
    pub guaranteed: i64,
}
