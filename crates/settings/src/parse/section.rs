use {
    super::{faults::Faults, located::Located},
    crate::{
        key::{self, Key, Rule},
        settings::Level,
    },
    jsonc_parser::{
        ast::{Object, Value},
        common::{Range, Ranged},
    },
    model::place::Place,
    std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Longest path accepted by the system.
const MAX_PATH_BYTES: usize = 4096;

/// Elements of a list with their labels.
pub type Elements<'a> = Vec<(String, &'a Value<'a>)>;

/// Members of an object whose names are chosen by the operator.
pub type Members<'a> = Vec<(Located<&'a str>, &'a Value<'a>)>;

/// An object with fixed keys.
pub struct Section<'a> {
    /// Its path in `KEYS`.
    pattern: &'static str,
    /// Its path in messages.
    label: String,
    object: &'a Object<'a>,
}

impl<'a> Section<'a> {
    /// Checks the type and the names of the keys.
    pub fn open(
        value: &'a Value<'a>,
        pattern: &'static str,
        label: String,
        faults: &mut Faults,
    ) -> Option<Section<'a>> {
        let Value::Object(object) = value else {
            wrong(value, &label, "an object", faults);
            return None;
        };
        duplicates(object, &label, faults);
        let section = Section {
            pattern,
            label,
            object,
        };
        for property in &object.properties {
            let name = property.name.as_str();
            if key::child(pattern, name).is_none() {
                faults.add(
                    property.range,
                    format!("unknown key `{}`", section.path(name)),
                    nearest(pattern, name),
                );
            }
        }
        Some(section)
    }

    /// Where the section stands.
    pub fn at(&self) -> Range {
        self.object.range
    }

    fn path(&self, name: &str) -> String {
        match self.label.as_str() {
            "" => name.to_owned(),
            label => format!("{label}.{name}"),
        }
    }

    /// The key and its value; reports a required one that is absent.
    fn find(&self, name: &str, faults: &mut Faults) -> Option<(&'static Key, &'a Value<'a>)> {
        let key = key::child(self.pattern, name)?;
        match self.object.get(name) {
            Some(property) => Some((key, &property.value)),
            None => {
                if key.required {
                    faults.add(
                        self.at(),
                        format!("`{}` is missing", self.path(name)),
                        format!("add `\"{name}\": {}`, {}", key.example, key.rule),
                    );
                }
                None
            }
        }
    }

    /// Tells whether the key `name` is present, readable or not.
    pub fn has(&self, name: &str) -> bool {
        self.object.get(name).is_some()
    }

    /// The section `name` inside this one.
    pub fn section(&self, name: &str, faults: &mut Faults) -> Option<Section<'a>> {
        let (key, value) = self.find(name, faults)?;
        Section::open(value, key.path, self.path(name), faults)
    }

    /// The elements of the list `name`, with their labels.
    pub fn list(&self, name: &str, faults: &mut Faults) -> Option<Located<Elements<'a>>> {
        let (key, value) = self.find(name, faults)?;
        elements(value, &key.rule, &self.path(name), faults)
    }

    /// The members of the object `name`, whose names are chosen by the operator.
    pub fn map(&self, name: &str, faults: &mut Faults) -> Option<Located<Members<'a>>> {
        let (key, value) = self.find(name, faults)?;
        let label = self.path(name);
        let Value::Object(object) = value else {
            wrong(value, &label, "an object", faults);
            return None;
        };
        duplicates(object, &label, faults);
        if let Rule::Map { least, most } = key.rule {
            length(
                object.properties.len(),
                least,
                most,
                object.range,
                &label,
                faults,
            );
        }
        let mut members = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !is_name(name) {
                faults.add(
                    property.range,
                    format!("`{name}` in `{label}` is not a name"),
                    format!("use {}", Rule::Name),
                );
            }
            members.push((Located::new(name, property.range), &property.value));
        }
        Some(Located::new(members, object.range))
    }

    /// A name.
    pub fn name(&self, name: &str, faults: &mut Faults) -> Option<Located<String>> {
        let (_, value) = self.find(name, faults)?;
        named(value, &self.path(name), faults)
    }

    /// A whole number within the bounds of its key.
    pub fn number(&self, name: &str, faults: &mut Faults) -> Option<Located<u64>> {
        let (key, value) = self.find(name, faults)?;
        number(value, &key.rule, &self.path(name), faults)
    }

    /// An IP address and a port.
    pub fn address(&self, name: &str, faults: &mut Faults) -> Option<Located<SocketAddr>> {
        let (key, value) = self.find(name, faults)?;
        let text = text(value, &self.path(name), key, faults)?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(Located::new(address, value.range())),
            _ => {
                refuse(value, &self.path(name), text, key, faults);
                None
            }
        }
    }

    /// A path; none if it is absent or `null`.
    pub fn file(&self, name: &str, faults: &mut Faults) -> Option<PathBuf> {
        let (key, value) = self.find(name, faults)?;
        if matches!(
            (key.rule, value),
            (Rule::OptionalPath, Value::NullKeyword(_))
        ) {
            return None;
        }
        let text = text(value, &self.path(name), key, faults)?;
        if text.is_empty() || text.len() > MAX_PATH_BYTES || text.contains('\0') {
            refuse(value, &self.path(name), text, key, faults);
            return None;
        }
        Some(text.into())
    }

    /// A log level, or the default.
    pub fn level(&self, name: &str, faults: &mut Faults) -> Level {
        let Some((key, value)) = self.find(name, faults) else {
            return Level::default();
        };
        let Some(text) = text(value, &self.path(name), key, faults) else {
            return Level::default();
        };
        match Level::ALL.iter().find(|level| level.as_str() == text) {
            Some(level) => *level,
            None => {
                refuse(value, &self.path(name), text, key, faults);
                Level::default()
            }
        }
    }

    /// A duration within the bounds of its key, if present.
    pub fn time(&self, name: &str, faults: &mut Faults) -> Option<Located<Duration>> {
        let (key, value) = self.find(name, faults)?;
        let text = text(value, &self.path(name), key, faults)?;
        match (humantime::parse_duration(text), key.rule) {
            (Ok(time), Rule::Time { least, most, .. }) if (least..=most).contains(&time) => {
                Some(Located::new(time, value.range()))
            }
            _ => {
                refuse(value, &self.path(name), text, key, faults);
                None
            }
        }
    }

    /// A size in bytes within the bounds of its key, if present.
    pub fn size(&self, name: &str, faults: &mut Faults) -> Option<Located<u64>> {
        let (key, value) = self.find(name, faults)?;
        let text = text(value, &self.path(name), key, faults)?;
        // A number without unit would be taken for bytes, which nobody means here.
        let has_unit = text.ends_with(|last: char| last.is_ascii_alphabetic());
        match (text.parse::<bytesize::ByteSize>(), key.rule) {
            (Ok(size), Rule::Size { least, most, .. })
                if has_unit && (least..=most).contains(&size.0) =>
            {
                Some(Located::new(size.0, value.range()))
            }
            _ => {
                refuse(value, &self.path(name), text, key, faults);
                None
            }
        }
    }
}

/// The elements of a list, with their labels.
pub fn elements<'a>(
    value: &'a Value<'a>,
    rule: &Rule,
    label: &str,
    faults: &mut Faults,
) -> Option<Located<Elements<'a>>> {
    let Value::Array(array) = value else {
        wrong(value, label, "a list", faults);
        return None;
    };
    if let Rule::List { least, most } = *rule {
        length(
            array.elements.len(),
            least,
            most,
            array.range,
            label,
            faults,
        );
    }
    let labelled = array
        .elements
        .iter()
        .enumerate()
        .map(|(position, element)| (format!("{label}[{position}]"), element))
        .collect();
    Some(Located::new(labelled, array.range))
}

/// A name.
pub fn named(value: &Value<'_>, label: &str, faults: &mut Faults) -> Option<Located<String>> {
    let Value::StringLit(literal) = value else {
        wrong(value, label, "a text", faults);
        return None;
    };
    if !is_name(&literal.value) {
        faults.add(
            literal.range,
            format!("`{label}` is \"{}\"", literal.value),
            format!("use {}", Rule::Name),
        );
        return None;
    }
    Some(Located::new(literal.value.to_string(), literal.range))
}

/// A whole number within bounds.
pub fn number(
    value: &Value<'_>,
    rule: &Rule,
    label: &str,
    faults: &mut Faults,
) -> Option<Located<u64>> {
    let Value::NumberLit(literal) = value else {
        wrong(value, label, &rule.to_string(), faults);
        return None;
    };
    match (literal.value.parse::<u64>(), rule) {
        (Ok(number), Rule::Number { least, most } | Rule::Count { least, most, .. })
            if (*least..=*most).contains(&number) =>
        {
            Some(Located::new(number, literal.range))
        }
        _ => {
            faults.add(
                literal.range,
                format!("`{label}` is {}", literal.value),
                format!("use {rule}"),
            );
            None
        }
    }
}

fn text<'a>(value: &'a Value<'a>, label: &str, key: &Key, faults: &mut Faults) -> Option<&'a str> {
    match value {
        Value::StringLit(literal) => Some(&literal.value),
        _ => {
            let expected = format!("{}, for example {}", key.rule, key.example);
            wrong(value, label, &expected, faults);
            None
        }
    }
}

fn refuse(value: &Value<'_>, label: &str, text: &str, key: &Key, faults: &mut Faults) {
    faults.add(
        value.range(),
        format!("`{label}` is \"{text}\""),
        format!("use {}, for example {}", key.rule, key.example),
    );
}

fn wrong(value: &Value<'_>, label: &str, expected: &str, faults: &mut Faults) {
    let found = match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    };
    let subject = match label {
        "" => "the file".to_owned(),
        label => format!("`{label}`"),
    };
    faults.add(
        value.range(),
        format!("{subject} is {found}"),
        format!("use {expected}"),
    );
}

fn length(found: usize, least: usize, most: usize, at: Range, label: &str, faults: &mut Faults) {
    if !(least..=most).contains(&found) {
        faults.add(
            at,
            format!("`{label}` has {found} elements"),
            format!("use {least} to {most}"),
        );
    }
}

fn duplicates(object: &Object<'_>, label: &str, faults: &mut Faults) {
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        if !seen.insert(name) {
            let place = match label {
                "" => "the file".to_owned(),
                label => format!("`{label}`"),
            };
            faults.add(
                property.range,
                format!("`{name}` is given twice in {place}"),
                "keep one of them",
            );
        }
    }
}

/// Advice on an unknown key: the section that it belongs to, or the most similar known key.
fn nearest(pattern: &str, name: &str) -> String {
    let known: Vec<_> = key::KEYS
        .iter()
        .filter(|key| key::child(pattern, key.name()).is_some_and(|child| child.path == key.path))
        .map(Key::name)
        .collect();
    let closest = known
        .iter()
        .map(|key| (strsim::damerau_levenshtein(key, name), *key))
        .min();
    if let Some((distance, key)) = closest
        && distance <= key.len() / 2
    {
        return format!("did you mean `{key}`?");
    }
    let elsewhere = key::KEYS
        .iter()
        .find(|key| key.name() == name && !key.path.contains("[]"));
    match elsewhere.and_then(|key| key.path.rsplit_once('.')) {
        Some((section, _)) => format!("it belongs into `{section}`"),
        None => format!("remove it; known here are {}", known.join(", ")),
    }
}

/// Names of instances and groups follow the rule of places, which name regions and data centres.
fn is_name(name: &str) -> bool {
    !name.contains('/') && name.parse::<Place>().is_ok()
}
