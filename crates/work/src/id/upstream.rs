use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Id of an upstream, chosen by the upstream and used again after it restarts. Cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Upstream(Arc<str>);

impl Upstream {
    /// Text of the id, as the upstream sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for Upstream {
    fn from(id: String) -> Upstream {
        Upstream(id.into())
    }
}

impl From<&str> for Upstream {
    fn from(id: &str) -> Upstream {
        Upstream(id.into())
    }
}

impl From<Upstream> for String {
    fn from(id: Upstream) -> String {
        id.0.to_string()
    }
}

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
