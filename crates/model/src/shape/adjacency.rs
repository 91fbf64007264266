use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// How close together the members of a gang must run.
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
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    #[default]
    Rack,
    /// All in one data centre.
    DataCentre,
}
