use {super::Level, std::path::PathBuf};

/// What is logged and where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Logs {
    /// The least severe lines that are written.
    pub level: Level,
    /// The log file; none means standard error.
    pub file: Option<PathBuf>,
}
