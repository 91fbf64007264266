use {
    plan::engine::Engine,
    std::time::{Duration, Instant},
    work::{
        registry::Registry,
        upstream::{NumberedReport, StartReport},
    },
};

/// Minimum interval between two copies of the report of the own engine.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Open starts of the latest leader, this instance or another one. The engine of a new term begins with them.
///
/// Neither the leader that made the report nor a later one that begins with it sends a further start of a run that the report
/// settles or gives a time for, so it stays true of these. It is not true any more of runs that a leader has started again
/// which began without it.
#[derive(Debug, Default)]
pub struct StartMemory {
    latest: NumberedReport,
    /// Time at which it was current here.
    at: Option<Instant>,
}

impl StartMemory {
    /// What is remembered.
    pub fn latest(&self) -> &NumberedReport {
        &self.latest
    }

    /// Replaces what is remembered by what a leader has told, unless a later report is known: a leader may not know yet that
    /// another one leads, and messages may overtake each other.
    pub fn replace(&mut self, report: NumberedReport, now: Instant) {
        if report.is_later_than(&self.latest) {
            self.latest = report;
            self.at = Some(now);
        }
    }

    /// Replaces what is remembered by what a leader of an earlier build has told, which does not number its reports.
    pub fn replace_by_unnumbered(&mut self, report: StartReport, now: Instant) {
        if report.covered_ms >= self.latest.report.covered_ms {
            self.latest.report = report;
            self.at = Some(now);
        }
    }

    /// Copies the report of the engine of this instance, which leads in the given term: at once, then at an interval.
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
            log::info!(
                "event=starts_inherited term={} number={} covered_ms={} open={}",
                self.latest.term,
                self.latest.number,
                self.latest.report.covered_ms,
                self.latest.report.open.len()
            );
            engine.inherit_starts(&self.latest.report, at);
        }
    }
}
