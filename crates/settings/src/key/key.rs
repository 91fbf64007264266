use super::Rule;

/// A key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Dotted path; `[]` stands for a position of a list and `*` for a name.
    pub path: &'static str,
    /// Type, default and bounds of the value.
    pub rule: Rule,
    /// Whether the key must be present in its section.
    pub required: bool,
    /// A correct value as written in a file.
    pub example: &'static str,
}

impl Key {
    /// The last part of the path.
    pub fn name(&self) -> &'static str {
        self.path.rsplit('.').next().unwrap_or(self.path)
    }
}
