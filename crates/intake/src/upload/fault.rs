use {crate::meter::Reason, std::fmt};

/// Why a body was not read to its end. The request has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It exceeds the bound of this many bytes.
    TooLarge(usize),
    /// No byte arrived in time.
    Stalled,
    /// It arrived below the lowest rate.
    Slow,
    /// The memory for bodies is used up.
    Full,
    /// Too many bodies arrive in very small chunks.
    Fragments,
    /// It is malformed, or the client went away.
    Broken(String),
}

impl Fault {
    /// The reason to count, except for a broken body, which no limit caused.
    pub(crate) fn reason(&self) -> Option<Reason> {
        match self {
            Fault::TooLarge(_) => Some(Reason::BodySize),
            Fault::Stalled => Some(Reason::BodyStall),
            Fault::Slow => Some(Reason::BodyRate),
            Fault::Full => Some(Reason::BodyMemory),
            Fault::Fragments => Some(Reason::Fragments),
            Fault::Broken(_) => None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::TooLarge(max) => write!(f, "the body exceeds {max} bytes"),
            Fault::Stalled => f.write_str("the body stopped arriving"),
            Fault::Slow => f.write_str("the body arrives too slowly"),
            Fault::Full => f.write_str("too many bodies are held; send again later"),
            Fault::Fragments => {
                f.write_str("too many bodies in very small chunks; send again later")
            }
            Fault::Broken(reason) => write!(f, "the body broke off: {reason}"),
        }
    }
}

impl std::error::Error for Fault {}
