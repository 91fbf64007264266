use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Whether somebody waits for the answer of a request.
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
    /// Quick work that somebody waits for.
    #[default]
    Short,
    /// Long or bulk work.
    Batch,
}
