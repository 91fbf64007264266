use serde::{Deserialize, Serialize};

/// A pool of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its upstreams refuse what does not fit; otherwise they start whatever they are told to.
    pub guards: bool,
    /// Whether its machines are switched off.
    pub spare: bool,
}
