use {
    super::Class,
    crate::{place::Place, shape::Shape},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Client account that the job belongs to.
    pub account: String,
    /// Chosen by the caller; a resend with the same key returns the first job.
    pub key: String,
    /// Urgency.
    #[serde(default)]
    pub class: Class,
    /// The gang.
    pub shape: Shape,
    /// Where the job shall run, inside the account's permitted places; the account's home region if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Whether the job may run again after an attempt that started.
    #[serde(default)]
    pub repeatable: bool,
    /// Largest number of attempts of a repeatable job.
    #[serde(default = "Spec::default_attempts")]
    pub max_attempts: u32,
    /// Run time that the caller expects, in seconds. A hint only; no promise rests on it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_seconds: Option<u64>,
    /// Passed to the workers unchanged; at most 64 KiB.
    #[serde(default)]
    pub payload: String,
}

impl Spec {
    /// Largest accepted payload in bytes.
    pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

    fn default_attempts() -> u32 {
        5
    }
}
