use {
    indexmap::IndexMap,
    jsonc_parser::{ast::Value, common::Ranged},
};

/// Deepest accepted nesting. A note needs 7 levels.
const MAX_DEPTH: usize = 32;

/// Largest accepted number of values. The two-year size of 77 accounts with 20 objectives each needs
/// below 20,000.
const MAX_VALUES: usize = 50_000;

/// The lines on which the values of a document stand, by path.
#[derive(Clone, Debug, Default)]
pub struct Outline {
    lines: IndexMap<Vec<String>, usize>,
    faults: Vec<(usize, String)>,
    starts: Vec<usize>,
}

impl Outline {
    /// Walks through `root`, notes the line of each value, and collects what exceeds the bounds or
    /// occurs twice.
    pub(super) fn new(text: &str, root: &Value<'_>) -> Outline {
        let starts = std::iter::once(0)
            .chain(text.match_indices('\n').map(|(at, _)| at + 1))
            .collect();
        let mut outline = Outline {
            starts,
            ..Outline::default()
        };
        outline.visit(&mut Vec::new(), root, root.start());
        outline
    }

    /// Returns the line of the value at `path`, or of its closest parent that exists.
    pub fn line(&self, path: &[&str]) -> usize {
        let mut path: Vec<String> = path.iter().map(|&part| part.to_owned()).collect();
        loop {
            if let Some(&line) = self.lines.get(&path) {
                return line;
            }
            if path.pop().is_none() {
                return 1;
            }
        }
    }

    /// Tells whether there is a value at `path`.
    pub fn has(&self, path: &[&str]) -> bool {
        let path: Vec<String> = path.iter().map(|&part| part.to_owned()).collect();
        self.lines.contains_key(&path)
    }

    /// Returns the line meant by a fault of a note whose text names an account or a path in backticks,
    /// such as `account.objectives[0].target`.
    pub fn line_of_text(&self, text: &str) -> usize {
        let Some(path) = text.split('`').nth(1) else {
            return 1;
        };
        let path = path.replace('[', ".").replace(']', "");
        let parts: Vec<&str> = path.split('.').collect();
        let account = parts[0];
        let top = ["add", "change"]
            .into_iter()
            .find(|top| self.has(&[top, account]));
        match top {
            Some(top) => self.line(&[&[top], &parts[..]].concat()),
            None if self.has(&["withdraw", "places", account]) => {
                self.line(&["withdraw", "places", account])
            }
            None => self.line(&parts),
        }
    }

    /// Returns what exceeds the bounds or occurs twice, with lines.
    pub(super) fn faults(&self) -> &[(usize, String)] {
        &self.faults
    }

    fn visit(&mut self, path: &mut Vec<String>, value: &Value<'_>, start: usize) {
        let line = self.line_at(start);
        if self.lines.len() >= MAX_VALUES {
            if self.lines.len() == MAX_VALUES {
                self.faults.push((
                    line,
                    format!("the file has more than {MAX_VALUES} values; split it"),
                ));
                self.lines.insert(vec![String::new(); MAX_DEPTH + 2], line);
            }
            return;
        }
        self.lines.insert(path.clone(), line);
        if path.len() >= MAX_DEPTH {
            if self.faults.is_empty() {
                self.faults.push((
                    line,
                    format!("values are nested deeper than {MAX_DEPTH} levels"),
                ));
            }
            return;
        }
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    path.push(property.name.as_str().to_owned());
                    if let Some(&first) = self.lines.get(path) {
                        let line = self.line_at(property.start());
                        self.faults.push((
                            line,
                            format!(
                                "`{}` is given twice, first on line {first}; merge both",
                                property.name.as_str()
                            ),
                        ));
                    } else {
                        self.visit(path, &property.value, property.start());
                    }
                    path.pop();
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    path.push(index.to_string());
                    self.visit(path, element, element.start());
                    path.pop();
                }
            }
            _ => {}
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        self.starts.partition_point(|&start| start <= offset)
    }
}
