use {
    super::{Guarantee, Objective},
    crate::place::Place,
    indexmap::IndexMap,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// A client account: where its work and data may reside and what it is promised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Places in which the account's work runs and its data is stored.
    pub places: Vec<Place>,
    /// Share of contended capacity relative to other accounts; at least 1.
    #[serde(default = "Account::default_weight")]
    pub weight: u32,
    /// Upper bound on accelerators held at once; none means no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<u32>,
    /// Guaranteed shapes by name.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub guarantees: IndexMap<String, Guarantee>,
    /// Service-level objectives.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub objectives: Vec<Objective>,
}

impl Account {
    fn default_weight() -> u32 {
        1
    }
}
