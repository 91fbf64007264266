use std::fmt;

/// A reason for which a note cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An added account exists already.
    Exists(String),
    /// A changed or withdrawn account does not exist.
    Missing(String),
    /// A withdrawn guarantee does not exist.
    NoGuarantee(String, String),
    /// A withdrawn place is not permitted, so there is nothing to withdraw.
    NoPlace(String, String),
    /// A value is out of range; the text names the path and the accepted range.
    Value(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Exists(name) => write!(
                f,
                "client account `{name}` exists already; list it under `change`"
            ),
            Fault::Missing(name) => write!(
                f,
                "client account `{name}` does not exist; list it under `add` or correct the name"
            ),
            Fault::NoGuarantee(account, name) => write!(
                f,
                "client account `{account}` has no guarantee `{name}` to withdraw"
            ),
            Fault::NoPlace(account, place) => write!(
                f,
                "client account `{account}` has no permitted place `{place}` to withdraw"
            ),
            Fault::Value(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Fault {}
