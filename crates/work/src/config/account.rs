use serde::{Deserialize, Serialize};

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Accelerators that belong to it for jobs of priority 0 at all times.
    pub guaranteed: i64,
}
