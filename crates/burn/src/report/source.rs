use {
    crate::ledger::Snapshot,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Smallest difference of clocks that is reported. A snapshot may be under way for a call timeout of
/// 2 s, so a smaller difference cannot be told from the time of the transfer.
const SKEW_NOTICE_MS: i64 = 2_000;

/// An instance whose counts are in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Source {
    /// Name of the instance.
    pub name: String,
    /// Since when it counts, by the clock of the report, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Wall clock of the instance minus that of the report at the moment of the report.
    pub skew_ms: i64,
    /// By how much the wall clock of the instance was set while it counted.
    pub stepped_ms: i64,
    /// Events that it did not count because its ledger was full.
    pub dropped: u64,
}

impl Source {
    pub(crate) fn new(snapshot: &Snapshot, now_ms: u64) -> Source {
        let expected = snapshot.started_ms.saturating_add(snapshot.uptime_ms);
        Source {
            name: snapshot.source.clone(),
            since_ms: now_ms.saturating_sub(snapshot.uptime_ms),
            skew_ms: difference(snapshot.taken_ms, now_ms),
            stepped_ms: difference(snapshot.taken_ms, expected),
            dropped: snapshot.dropped,
        }
    }

    pub(crate) fn remarks(&self, remarks: &mut Vec<String>) {
        let name = &self.name;
        if self.skew_ms.abs() >= SKEW_NOTICE_MS {
            remarks.push(format!(
                "the clock of {name} differs by {:+.1} s from the clock of this report, or its counts \
                 are that old; counts are placed by age, not by its clock",
                self.skew_ms as f64 / 1e3
            ));
        }
        if self.stepped_ms.abs() >= SKEW_NOTICE_MS {
            remarks.push(format!(
                "the clock of {name} was set by {:+.1} s while it counted; counts are not affected",
                self.stepped_ms as f64 / 1e3
            ));
        }
        if self.dropped > 0 {
            remarks.push(format!(
                "{name} did not count {} events because its ledger is full; reduce the number of \
                 objectives",
                self.dropped
            ));
        }
    }
}

fn difference(a: u64, b: u64) -> i64 {
    let bound = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    bound(a).saturating_sub(bound(b))
}
