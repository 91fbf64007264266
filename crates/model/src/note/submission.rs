use {
    super::Note,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// A note with the number it expects to replace and a key that makes resends idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Chosen by the operator's tool; a resend carries the same key.
    pub key: String,
    /// Number of the configuration that the note was written against.
    pub expected: u64,
    /// The note.
    pub note: Note,
}
