use {serde::Serialize, std::fmt};

/// Whether a fault prevents the use of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The file cannot be used.
    Error,
    /// The file can be used but probably does not do what is meant.
    Warning,
}

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The file as named by the caller.
    pub file: String,
    /// Line, from 1; 0 if the whole file is meant.
    pub line: usize,
    /// Whether the file can still be used.
    pub severity: Severity,
    /// What is wrong and what to do.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let text = burn::printable(&self.text, 600);
        match self.line {
            0 => write!(f, "{}: {word}: {text}", self.file),
            line => write!(f, "{}:{line}: {word}: {text}", self.file),
        }
    }
}
