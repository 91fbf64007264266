use {
    crate::place::Site,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// A machine that runs tasks of gangs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Worker {
    /// Unique name.
    pub name: String,
    /// Where it stands.
    pub site: Site,
    /// Rack within the data centre.
    pub rack: String,
    /// Number of accelerators; indices with a small difference are adjacent.
    pub accelerators: u16,
    /// Number of processors.
    pub cpus: u16,
    /// Memory in MB.
    pub memory_mb: u32,
    /// IP address and port that accept orders.
    pub address: String,
}
