//! Exit statuses of the command line.

/// How a command ended. Scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Refused, or the checked file has faults; nothing was changed.
    Refused = 1,
    /// The command line cannot be understood.
    Usage = 2,
    /// Another change came first, or the key was used before for something else.
    Conflict = 3,
    /// It is not known whether the change was made, or the awaited end was not seen.
    Unknown = 4,
    /// No instance gave a usable answer; nothing was changed.
    Unreachable = 5,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> std::process::ExitCode {
        std::process::ExitCode::from(exit as u8)
    }
}
