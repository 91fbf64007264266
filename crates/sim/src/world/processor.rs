use std::time::Duration;

/// Processor time that the leader takes. While a step runs, events wait, and its effects follow at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Processor {
    /// For each upstream or run that a step examines.
    pub per_entry: Duration,
    /// For each event and each effect.
    pub per_event: Duration,
}
