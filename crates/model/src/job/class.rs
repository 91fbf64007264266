use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// How urgent a job is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Starts before other work of its account.
    Urgent,
    /// The usual case.
    #[default]
    Standard,
    /// May wait, with a stated bound.
    Sweep,
}
