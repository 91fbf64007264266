use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The data centre in which an instance, worker or upstream stands.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The region's name.
    pub region: String,
    /// The data centre's name.
    pub data_centre: String,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.data_centre)
    }
}
