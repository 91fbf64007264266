use {crate::Fault, jsonc_parser::common::Range};

/// Faults found so far.
pub struct Faults<'a> {
    text: &'a str,
    list: Vec<Fault>,
}

impl<'a> Faults<'a> {
    pub fn new(text: &'a str) -> Faults<'a> {
        Faults {
            text,
            list: Vec::new(),
        }
    }

    /// Adds a fault at a position of the file.
    pub fn add(&mut self, at: Range, problem: impl Into<String>, remedy: impl Into<String>) {
        let before = self.text.as_bytes().get(..at.start).unwrap_or_default();
        self.list.push(Fault {
            line: 1 + before.iter().filter(|byte| **byte == b'\n').count(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// The faults by line; the order of faults of one line is that of their discovery.
    pub fn finish(mut self) -> Vec<Fault> {
        self.list.sort_by_key(|fault| fault.line);
        self.list
    }
}
