use {
    super::StartReport,
    serde::{Deserialize, Serialize},
};

/// A report of a leader, with its place in the order of the reports of all leaders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedReport {
    /// Term of the leader.
    pub term: u64,
    /// Number of the report in its term.
    pub number: u64,
    /// What it tells.
    pub report: StartReport,
}

impl NumberedReport {
    /// Whether it was made after another one.
    pub fn is_later_than(&self, other: &NumberedReport) -> bool {
        (self.term, self.number) > (other.term, other.number)
    }
}
