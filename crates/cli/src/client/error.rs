use std::fmt;

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Addresses or time limits are not usable.
    Settings(String),
    /// The instances could not carry it out now; nothing was changed.
    NotRun {
        /// What was asked.
        what: String,
        /// The last reason.
        reason: String,
    },
    /// An instance refused it; nothing was changed.
    Refused {
        /// What was asked.
        what: String,
        /// Address of the instance.
        instance: String,
        /// Its message.
        message: String,
    },
    /// Something else came first.
    Conflict {
        /// What was asked.
        what: String,
        /// Address of the instance.
        instance: String,
        /// Its message.
        message: String,
    },
    /// It may have been carried out.
    Unknown {
        /// What was asked.
        what: String,
        /// The last reason.
        reason: String,
    },
    /// No instance gave a usable answer; nothing was changed.
    Unreachable {
        /// What was asked.
        what: String,
        /// The last reason.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(text) => f.write_str(text),
            Error::NotRun { what, reason } => write!(
                f,
                "could not {what}; nothing was changed: {reason}. Run the command again later"
            ),
            Error::Refused {
                what,
                instance,
                message,
            } => write!(f, "could not {what}; refused by {instance}: {message}"),
            Error::Conflict {
                what,
                instance,
                message,
            } => write!(f, "could not {what}; conflict at {instance}: {message}"),
            Error::Unknown { what, reason } => write!(
                f,
                "it is not known whether this was done: {what}. Last failure: {reason}"
            ),
            Error::Unreachable { what, reason } => write!(
                f,
                "could not {what}; no instance gave a usable answer and nothing was changed. Last \
                 failure: {reason}. Check --instances and the network"
            ),
        }
    }
}

impl std::error::Error for Error {}
