use {
    crate::place::Place,
    indexmap::IndexMap,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a note withdraws.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Client accounts that end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<String>,
    /// Guarantees that end, by account and guarantee name.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub guarantees: IndexMap<String, Vec<String>>,
    /// Places that are no longer permitted, by account.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub places: IndexMap<String, Vec<Place>>,
}

impl Withdrawal {
    /// Tells whether nothing is withdrawn.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.guarantees.is_empty() && self.places.is_empty()
    }
}
