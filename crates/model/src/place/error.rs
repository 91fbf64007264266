use std::fmt;

/// Why a text is not a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A name is empty, too long or has characters other than `a-z`, `0-9` and `-`.
    Name(String),
    /// More than one slash.
    Depth(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Name(text) => write!(
                f,
                "`{text}` is not a place name; use 1 to 64 characters of a-z, 0-9 and `-`"
            ),
            Error::Depth(text) => {
                write!(f, "`{text}` is not `region` or `region/data-centre`")
            }
        }
    }
}

impl std::error::Error for Error {}
