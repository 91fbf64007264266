use {
    crate::{
        client,
        document::{Fault, Severity},
        exit::Exit,
    },
    std::{fmt, io},
};

/// Why a command did not do what was asked.
#[derive(Debug)]
pub enum Error {
    /// The request was understood and refused; nothing was changed.
    Refused(String),
    /// The command line cannot be understood.
    Usage(String),
    /// Another change came first, or a key was used before for something else.
    Conflict(String),
    /// It is not known whether a change was made, or the awaited end was not seen.
    Unknown(String),
    /// No instance gave a usable answer.
    Unreachable(String),
    /// A file has faults.
    Faults(Vec<Fault>),
    /// The output could not be written.
    Output(io::Error),
}

impl Error {
    /// Returns the exit status.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Refused(_) | Error::Faults(_) => Exit::Refused,
            Error::Usage(_) => Exit::Usage,
            Error::Conflict(_) => Exit::Conflict,
            Error::Unknown(_) => Exit::Unknown,
            Error::Unreachable(_) => Exit::Unreachable,
            // `trefoilvalve job list | head` closes the output early on purpose.
            Error::Output(error) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Done,
            Error::Output(_) => Exit::Refused,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(text)
            | Error::Usage(text)
            | Error::Conflict(text)
            | Error::Unknown(text)
            | Error::Unreachable(text) => write!(f, "trefoilvalve: {text}"),
            // Each fault begins its line, so that editors and CI find file and line.
            Error::Faults(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                let errors = faults
                    .iter()
                    .filter(|fault| fault.severity == Severity::Error)
                    .count();
                let noun = if errors == 1 { "fault" } else { "faults" };
                write!(
                    f,
                    "trefoilvalve: {errors} {noun}; correct the file and run the command again"
                )
            }
            Error::Output(error) => {
                write!(f, "trefoilvalve: the output could not be written: {error}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Output(error)
    }
}

impl From<Vec<Fault>> for Error {
    fn from(faults: Vec<Fault>) -> Error {
        Error::Faults(faults)
    }
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Error {
        let text = error.to_string();
        match error {
            client::Error::Settings(_) => Error::Usage(text),
            client::Error::NotRun { .. } | client::Error::Refused { .. } => Error::Refused(text),
            client::Error::Conflict { .. } => Error::Conflict(text),
            client::Error::Unknown { .. } => Error::Unknown(text),
            client::Error::Unreachable { .. } => Error::Unreachable(text),
        }
    }
}
