use {
    plan::engine::Engine,
    std::time::{Duration, Instant},
    work::{registry::Registry, upstream::NumberedReport},
};

/// Minimum interval between two copies of the report of the own engine.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// What an instance remembers of the open starts of the latest leader, with the rules of `dispatch`.
#[derive(Clone, Debug, Default)]
pub(super) struct StartMemory {
    latest: NumberedReport,
    at: Option<Instant>,
}

impl StartMemory {
    /// What is remembered.
    pub fn latest(&self) -> &NumberedReport {
        &self.latest
    }

    /// Replaces what is remembered by what a leader has told, unless a later report is known.
    pub fn replace(&mut self, report: NumberedReport, now: Instant) {
        if report.is_later_than(&self.latest) {
            self.latest = report;
            self.at = Some(now);
        }
    }

    /// Copies the report of the engine of this instance: at the begin of its term, then at an interval.
    pub fn copy(&mut self, engine: &Engine, registry: &Registry, term: u64, now: Instant) {
        let is_first = self.latest.term < term;
        if is_first || self.at.is_none_or(|at| now >= at + COPY_INTERVAL) {
            let number = match is_first {
                true => 1,
                false => self.latest.number + 1,
            };
            let report = engine.start_report(registry);
            let report = NumberedReport {
                term,
                number,
                report,
            };
            self.replace(report, now);
        }
    }

    /// Lets an engine whose term begins go on with what is remembered.
    pub fn hand_over(&self, engine: &mut Engine) {
        if let Some(at) = self.at {
            engine.inherit_starts(&self.latest.report, at);
        }
    }
}
