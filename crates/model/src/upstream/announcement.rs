use {
    super::Upstream,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What an upstream sends to any instance to be known, stay known or depart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Announcement {
    /// The upstream.
    pub upstream: Upstream,
    /// Grows with each announcement of this upstream; starts from its wall clock in milliseconds.
    pub sequence: u64,
    /// Whether it departs and wants no new work.
    #[serde(default)]
    pub departing: bool,
    /// Slots that run a request now, if the upstream reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub busy: Option<u16>,
}
