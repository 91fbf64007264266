use {
    crate::{
        account::{Guarantee, Objective},
        place::Place,
    },
    indexmap::IndexMap,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a note changes in one client account; fields left out stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Places added to the permitted ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<Place>,
    /// New weight.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// New quota in accelerators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<u32>,
    /// Guarantees added or replaced, by name.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub guarantees: IndexMap<String, Guarantee>,
    /// Objectives that replace all earlier ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objectives: Option<Vec<Objective>>,
}
