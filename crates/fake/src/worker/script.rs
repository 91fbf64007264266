use std::time::Duration;

/// What a stand-in task does, read from the job's payload: `run_ms=200`, `fail=1`, separated by spaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Script {
    /// Time until the task ends.
    pub run: Duration,
    /// Whether it ends without success.
    pub fail: bool,
}

impl Script {
    /// Reads a payload; what it does not say has defaults.
    pub fn parse(payload: &str) -> Script {
        let value = |key: &str| {
            let words = payload.split_whitespace();
            words
                .filter_map(|word| word.split_once('='))
                .find(|(name, _)| *name == key)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        Script {
            run: Duration::from_millis(value("run_ms").unwrap_or(100)),
            fail: value("fail").unwrap_or(0) != 0,
        }
    }
}
