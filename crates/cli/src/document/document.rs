use {
    super::{Fault, Outline, Severity},
    jsonc_parser::{
        CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast,
        parse_to_serde_value,
    },
    serde::de::DeserializeOwned,
    serde_path_to_error::Segment,
    std::{fs::File, io::Read},
};

/// Largest accepted file in bytes.
const MAX_BYTES: u64 = 1024 * 1024;

/// Largest number of duplicates that are listed.
const MAX_FAULTS: usize = 50;

/// Comments and trailing commas are accepted; other extensions of JSON are not.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A file of JSON with comments whose syntax, size and nesting are in order.
#[derive(Clone, Debug)]
pub struct Document {
    /// The file as named by the caller.
    pub file: String,
    /// Lines of the values.
    pub outline: Outline,
    text: String,
}

impl Document {
    /// Reads a file.
    pub fn open(file: &str) -> Result<Document, Vec<Fault>> {
        let fault = |text: String| vec![fault(file, 0, text)];
        let mut bytes = Vec::new();
        File::open(file)
            .and_then(|opened| opened.take(MAX_BYTES + 1).read_to_end(&mut bytes))
            .map_err(|error| fault(format!("cannot be read: {error}; check the name")))?;
        if bytes.len() as u64 > MAX_BYTES {
            return Err(fault(format!(
                "has more than {MAX_BYTES} bytes; split it into several files"
            )));
        }
        let text = String::from_utf8(bytes).map_err(|error| {
            let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
            let line = valid.iter().filter(|&&byte| byte == b'\n').count() + 1;
            vec![self::fault(file, line, "is not UTF-8 text".to_owned())]
        })?;
        Document::parse(file, text)
    }

    /// Checks syntax, size and nesting of `text`, which is called `file` in faults.
    pub fn parse(file: &str, text: String) -> Result<Document, Vec<Fault>> {
        let text = match text.strip_prefix('\u{feff}') {
            Some(rest) => rest.to_owned(),
            None => text,
        };
        let outline = {
            let parsed = parse_to_ast(&text, &CollectOptions::default(), &OPTIONS)
                .map_err(|error| vec![from_parser(file, &error)])?;
            let Some(root) = &parsed.value else {
                return Err(vec![fault(file, 0, "is empty".to_owned())]);
            };
            Outline::new(&text, root)
        };
        if !outline.faults().is_empty() {
            return Err(outline
                .faults()
                .iter()
                .take(MAX_FAULTS)
                .map(|(line, text)| fault(file, *line, text.clone()))
                .collect());
        }
        Ok(Document {
            file: file.to_owned(),
            outline,
            text,
        })
    }

    /// Returns the content as a `T`, or the first value that does not fit, with its line.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<Fault>> {
        parse_to_serde_value(&self.text, &OPTIONS).map_err(|error| {
            vec![
                self.misfit::<T>()
                    .unwrap_or_else(|| from_parser(&self.file, &error)),
            ]
        })
    }

    /// Finds the value that does not fit. The parser itself names only the object around it.
    fn misfit<T: DeserializeOwned>(&self) -> Option<Fault> {
        let value: serde_json::Value = parse_to_serde_value(&self.text, &OPTIONS).ok()?;
        let error = serde_path_to_error::deserialize::<_, T>(value).err()?;
        let path: Vec<String> = error
            .path()
            .iter()
            .filter_map(|segment| match segment {
                Segment::Seq { index } => Some(index.to_string()),
                Segment::Map { key } => Some(key.clone()),
                Segment::Enum { .. } | Segment::Unknown => None,
            })
            .collect();
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        Some(self.fault(self.outline.line(&path), error.inner().to_string()))
    }

    /// Adds a text property to the top-level object, on its first line so that lines stay as they are.
    pub fn with_property(&self, name: &str, value: &str) -> Result<Document, Vec<Fault>> {
        let parsed = parse_to_ast(&self.text, &CollectOptions::default(), &OPTIONS)
            .map_err(|error| vec![from_parser(&self.file, &error)])?;
        let Some(Value::Object(object)) = &parsed.value else {
            return Err(vec![self.fault(1, "is not an object".to_owned())]);
        };
        let at = object.start() + 1;
        let (before, after) = self.text.split_at(at);
        let property = serde_json::json!(name);
        let value = serde_json::json!(value);
        let comma = if object.properties.is_empty() {
            ""
        } else {
            ","
        };
        Document::parse(
            &self.file,
            format!("{before}{property}:{value}{comma}{after}"),
        )
    }

    /// Returns a fault of this file.
    pub fn fault(&self, line: usize, text: String) -> Fault {
        fault(&self.file, line, text)
    }
}

fn fault(file: &str, line: usize, text: String) -> Fault {
    Fault {
        file: file.to_owned(),
        line,
        severity: Severity::Error,
        text,
    }
}

fn from_parser(file: &str, error: &jsonc_parser::errors::ParseError) -> Fault {
    fault(file, error.line_display(), error.kind().to_string())
}
