use {
    super::{Engine, round::Round},
    crate::order::{Rank, Unit},
    work::collections::IndexMap,
};

/// Classes of waiting work in a [`LoadReport`], highest first.
pub const WAITING_CLASSES: [&str; 5] = ["urgent", "urgent_late", "on_time", "late", "worthless"];

/// Room, waiting work and stopped runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Accelerators of the upstreams that can take work.
    pub accelerators: i64,
    /// Number of them that nothing uses.
    pub free: i64,
    /// Number of them that are kept free for urgent work that has not arrived yet.
    pub kept: i64,
    /// Tasks that wait, by [`WAITING_CLASSES`].
    pub waiting: [usize; WAITING_CLASSES.len()],
    /// Runs that were told to stop since the previous report, by reason.
    pub stops: IndexMap<&'static str, u64>,
    /// Core-seconds of work expected to be lost by preemption since the previous report.
    pub preempted_core_seconds: f64,
}

/// The report that is being collected.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadWatch {
    pub stops: IndexMap<&'static str, u64>,
    pub preempted_core_seconds: f64,
    /// Report that was not taken yet.
    report: Option<LoadReport>,
}

impl Engine {
    /// Room, waiting work and stopped runs, about once a second; none between two reports.
    pub fn take_load_report(&mut self) -> Option<LoadReport> {
        self.load_watch.report.take()
    }

    /// Reports on the hosts and the waiting work of a round.
    pub(super) fn collect_load(&mut self, round: &Round<'_>, units: &[Unit<'_>]) {
        let mut report = LoadReport {
            stops: std::mem::take(&mut self.load_watch.stops),
            preempted_core_seconds: std::mem::take(&mut self.load_watch.preempted_core_seconds),
            kept: round.supply.values().map(|supply| supply.reserved).sum(),
            ..LoadReport::default()
        };
        for host in &round.hosts {
            report.accelerators += host.upstream.capacity.accelerators;
            report.free += host.free.accelerators;
        }
        for unit in units {
            report.waiting[waiting_class(unit.rank)] += unit.tasks.len();
        }
        // A report that nobody has taken must not lose its counts.
        if let Some(earlier) = self.load_watch.report.take() {
            for (reason, count) in earlier.stops {
                *report.stops.entry(reason).or_default() += count;
            }
            report.preempted_core_seconds += earlier.preempted_core_seconds;
        }
        self.load_watch.report = Some(report);
    }
}

/// Index of the class of waiting work in [`WAITING_CLASSES`].
fn waiting_class(rank: Rank) -> usize {
    match rank {
        Rank::Guaranteed | Rank::Urgent => 0,
        Rank::UrgentLate => 1,
        Rank::OnTime(_) => 2,
        Rank::Late(_) => 3,
        Rank::Worthless => 4,
    }
}
