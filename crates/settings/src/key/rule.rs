use std::{fmt, time::Duration};

/// Type, default and bounds of a value.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// An object with fixed keys.
    Section,
    /// An object with names chosen by the operator, of a length between bounds.
    Map {
        /// Fewest elements.
        least: usize,
        /// Most elements.
        most: usize,
    },
    /// A list of a length between bounds.
    List {
        /// Fewest elements.
        least: usize,
        /// Most elements.
        most: usize,
    },
    /// 1 to 64 characters of `a-z`, `0-9` and `-`.
    Name,
    /// An IP address and a port.
    Address,
    /// A path on this machine.
    Path,
    /// A path or `null`.
    OptionalPath,
    /// A log level.
    Level,
    /// A whole number between bounds.
    Number {
        /// Smallest value.
        least: u64,
        /// Largest value.
        most: u64,
    },
    /// A whole number between bounds, with a default.
    Count {
        /// Value when the key is absent.
        default: u64,
        /// Smallest value.
        least: u64,
        /// Largest value.
        most: u64,
    },
    /// A duration with unit between bounds.
    Time {
        /// Value when the key is absent; none means that it is computed.
        default: Option<Duration>,
        /// Shortest value.
        least: Duration,
        /// Longest value.
        most: Duration,
    },
    /// A size with unit between bounds.
    Size {
        /// Value in bytes when the key is absent.
        default: u64,
        /// Smallest value in bytes.
        least: u64,
        /// Largest value in bytes.
        most: u64,
    },
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Rule::Section => f.write_str("an object"),
            Rule::Map { least, most } => write!(f, "an object of {least} to {most} names"),
            Rule::List { least, most } => write!(f, "a list of {least} to {most} elements"),
            Rule::Name => f.write_str("1 to 64 characters of a-z, 0-9 and `-`"),
            Rule::Address => f.write_str("an IP address and a port from 1 to 65535"),
            Rule::Path => f.write_str("a path of 1 to 4096 bytes"),
            Rule::OptionalPath => f.write_str("null or a path of 1 to 4096 bytes"),
            Rule::Level => f.write_str("error, warn, info, debug or trace"),
            Rule::Number { least, most } | Rule::Count { least, most, .. } => {
                write!(f, "a whole number from {least} to {most}")
            }
            Rule::Time { least, most, .. } => {
                write!(f, "a duration from {} to {}", time(least), time(most))
            }
            Rule::Size { least, most, .. } => {
                write!(f, "a size from {} to {}", size(least), size(most))
            }
        }
    }
}

impl Rule {
    /// The default as written in a file, if there is a fixed one.
    pub fn default(&self) -> Option<String> {
        match *self {
            Rule::Time { default, .. } => default.map(time),
            Rule::Size { default, .. } => Some(size(default)),
            Rule::Count { default, .. } => Some(default.to_string()),
            Rule::Level => Some("info".into()),
            Rule::OptionalPath => Some("null".into()),
            _ => None,
        }
    }
}

fn time(value: Duration) -> String {
    humantime::format_duration(value).to_string()
}

fn size(bytes: u64) -> String {
    match bytes {
        _ if bytes.is_multiple_of(1 << 20) => format!("{}MiB", bytes >> 20),
        _ if bytes.is_multiple_of(1 << 10) => format!("{}KiB", bytes >> 10),
        _ => format!("{bytes}B"),
    }
}
