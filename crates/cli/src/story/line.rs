use indexmap::IndexMap;

/// One line of a log: pairs of key and value.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Where it was read.
    pub source: String,
    /// The pairs in their order.
    pub pairs: IndexMap<String, String>,
}

impl Line {
    /// Reads a line. What stands before the first pair, such as a machine's name, is left out.
    pub fn parse(source: &str, text: &str) -> Option<Line> {
        let mut pairs = IndexMap::new();
        let mut rest = text;
        while let Some((before, after)) = rest.split_once('=') {
            let key = before.rsplit(char::is_whitespace).next()?;
            let (value, left) = match after.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => after.split_once(char::is_whitespace).unwrap_or((after, "")),
            };
            pairs.insert(key.to_owned(), value.to_owned());
            rest = left;
        }
        pairs.contains_key("event").then(|| Line {
            source: source.to_owned(),
            pairs,
        })
    }

    /// A value by key; empty without it.
    pub fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    /// Whether a value is the id, or a name that begins or ends with it.
    pub fn mentions(&self, id: &str) -> bool {
        self.pairs.values().any(|value| {
            let parts =
                value.split(|letter: char| !letter.is_ascii_alphanumeric() && letter != '-');
            parts.into_iter().any(|part| part == id)
        })
    }
}
