use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Time from the submission of a job to the start of its gang.
    JobStart,
    /// Time from the submission of a job to its end.
    JobCompletion,
    /// Time from the arrival of a request to the end of its answer.
    Answer,
    /// Requests not refused; `within_ms` is ignored.
    Admission,
}

impl Measure {
    /// Classes of the jobs or requests that are measured.
    pub fn classes(self) -> &'static [&'static str] {
        match self {
            Measure::JobStart | Measure::JobCompletion => &["urgent", "standard", "sweep"],
            Measure::Answer | Measure::Admission => &["short", "batch"],
        }
    }
}

/// A service-level objective of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Job class (`urgent`, `standard`, `sweep`) or request class (`short`, `batch`).
    pub class: String,
    /// The measured quantity.
    pub measure: Measure,
    /// Bound in milliseconds under which an event counts as good.
    #[serde(default)]
    pub within_ms: u64,
    /// Fraction of events that must be good, above 0 and below 1.
    pub target: f64,
}
