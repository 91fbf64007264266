use std::path::PathBuf;

/// Where a control instance keeps its durable state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Data {
    /// The data folder; a relative path starts at the working directory of the process.
    pub folder: PathBuf,
}
