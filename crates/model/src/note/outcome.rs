use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What became of a submitted note. A resend with the same key gets the same outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The note is the configuration of this number.
    Accepted {
        /// The new number.
        number: u64,
    },
    /// Another note was accepted under the expected number; nothing was changed.
    Conflict {
        /// The number in force when the submission was decided.
        number: u64,
        /// Key of the submission that holds the number following the expected one.
        winner: String,
        /// Summary of that note.
        summary: String,
    },
    /// The note cannot be applied; nothing was changed.
    Refused {
        /// Every reason.
        faults: Vec<String>,
    },
    /// The key was used before for another note; nothing was changed.
    KeyReused,
}
