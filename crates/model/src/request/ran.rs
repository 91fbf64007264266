use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a refusal says about whether the work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// No byte of the request reached an upstream.
    No,
    /// It may have run.
    Unknown,
}
