use {
    super::{Change, Withdrawal},
    crate::account::Account,
    indexmap::IndexMap,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// A release note, applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// One line for the history.
    pub summary: String,
    /// New client accounts by name.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub add: IndexMap<String, Account>,
    /// Changes to existing client accounts by name.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub change: IndexMap<String, Change>,
    /// What ceases to hold.
    #[serde(default, skip_serializing_if = "Withdrawal::is_empty")]
    pub withdraw: Withdrawal,
}
