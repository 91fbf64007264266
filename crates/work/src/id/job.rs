use {
    super::Error,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Hexadecimal digits of a job id in text.
const DIGITS: usize = 16;

/// Id of a job, chosen by its caller. Written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Job(pub u64);

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Job, Error> {
        let invalid = || Error::Job(text.chars().take(2 * DIGITS).collect());
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16)
            .map(Job)
            .map_err(|_| invalid())
    }
}
