use std::{fmt, io, path::PathBuf};

/// Why settings could not be read.
#[derive(Debug)]
pub enum Error {
    /// The file could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The reason given by the file system.
        source: io::Error,
    },
    /// The content has faults.
    Invalid {
        /// The file.
        path: PathBuf,
        /// Every fault, by line.
        faults: Vec<Fault>,
    },
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the fault, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub remedy: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read { path, source } => {
                write!(f, "cannot read settings `{}`: {source}", path.display())
            }
            Error::Invalid { path, faults } => {
                for (position, fault) in faults.iter().enumerate() {
                    if position > 0 {
                        f.write_str("\n")?;
                    }
                    write!(f, "{}:{fault}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.line, self.problem, self.remedy)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Read { source, .. } => Some(source),
            Error::Invalid { .. } => None,
        }
    }
}
