use {
    crate::{place::Place, shape::Shape},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// A number of gangs of one shape that an account can claim in a place at any time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The gang that must always fit.
    pub shape: Shape,
    /// How many such gangs must fit at once.
    #[serde(default = "Guarantee::default_count")]
    pub count: u16,
    /// Where they must fit; one of the account's permitted places or inside one.
    pub place: Place,
}

impl Guarantee {
    fn default_count() -> u16 {
        1
    }
}
