use {
    crate::place::Site,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// A back end on one minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// What it serves; requests name the service.
    pub service: String,
    /// Where it stands.
    pub site: Site,
    /// IP address and port that accept requests.
    pub address: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
}
