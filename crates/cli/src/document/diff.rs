use {
    serde::Serialize,
    serde_json::Value,
    std::{collections::BTreeSet, fmt},
};

/// Longest shown value, in characters.
const MAX_SHOWN: usize = 200;

/// One difference of two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Where, for example `accounts.reed.weight`.
    pub path: String,
    /// Value in the old document, if any.
    pub old: Option<Value>,
    /// Value in the new document, if any.
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = burn::printable(&self.path, MAX_SHOWN);
        let show = |value: &Value| burn::printable(&value.to_string(), MAX_SHOWN);
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {} -> {}", show(old), show(new)),
            (Some(old), None) => write!(f, "- {path}: {}", show(old)),
            (None, Some(new)) => write!(f, "+ {path}: {}", show(new)),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Returns the differences of two values; lists of texts are compared as sets unless only their
/// order differs.
pub fn diff(old: &Value, new: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare(String::new(), old, new, &mut found);
    found
}

fn compare(path: String, old: &Value, new: &Value, found: &mut Vec<Difference>) {
    if old == new {
        return;
    }
    let below = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match (old, new) {
        (Value::Object(before), Value::Object(after)) => {
            let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for name in names {
                match (before.get(name), after.get(name)) {
                    (Some(old), Some(new)) => compare(below(name), old, new, found),
                    (old, new) => found.push(Difference {
                        path: below(name),
                        old: old.cloned(),
                        new: new.cloned(),
                    }),
                }
            }
        }
        (Value::Array(before), Value::Array(after)) if is_set(before) && is_set(after) => {
            let start = found.len();
            for gone in before.iter().filter(|value| !after.contains(value)) {
                found.push(Difference {
                    path: path.clone(),
                    old: Some(gone.clone()),
                    new: None,
                });
            }
            for come in after.iter().filter(|value| !before.contains(value)) {
                found.push(Difference {
                    path: path.clone(),
                    old: None,
                    new: Some(come.clone()),
                });
            }
            if found.len() == start {
                // Only the order differs; the first permitted place sets the home region.
                found.push(Difference {
                    path,
                    old: Some(old.clone()),
                    new: Some(new.clone()),
                });
            }
        }
        _ => found.push(Difference {
            path,
            old: Some(old.clone()),
            new: Some(new.clone()),
        }),
    }
}

fn is_set(list: &[Value]) -> bool {
    list.iter().all(Value::is_string)
}
