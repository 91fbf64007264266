use {
    super::{Document, Fault},
    model::{config::Config, note::Note},
};

/// What a file describes.
#[derive(Clone, Debug, PartialEq)]
pub enum Subject {
    /// A configuration, as printed by `note status --config`.
    Config(Config),
    /// A release note.
    Note(Note),
}

impl Subject {
    /// Reads a configuration (it has `accounts`) or a note.
    pub fn read(document: &Document) -> Result<Subject, Vec<Fault>> {
        if document.outline.has(&["accounts"]) {
            document.read().map(Subject::Config)
        } else {
            document.read().map(Subject::Note)
        }
    }
}
