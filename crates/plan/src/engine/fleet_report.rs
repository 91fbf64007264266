use {
    super::{Engine, round::Round},
    crate::{
        order::Unit,
        place::{self, SPEED_CLASSES},
    },
};

/// What a leader knows of the speeds of its upstreams, and where urgent work was started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetReport {
    /// Whether work is placed by speeds.
    pub is_uneven: bool,
    /// Number of upstreams whose speed is measured.
    pub measured: usize,
    /// Standard deviation of the logarithms of the speeds.
    pub spread: f64,
    /// Number of upstreams that can take work, by class of speed.
    pub upstreams: [usize; SPEED_CLASSES.len()],
    /// Starts of urgent work since the previous report, by the class of its slowest place: those in time for its
    /// objective, and late ones. A gang counts once.
    pub urgent_starts: [[u64; 2]; SPEED_CLASSES.len()],
}

/// The report that is being collected.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetWatch {
    starts: [[u64; 2]; SPEED_CLASSES.len()],
    /// Report that was not taken yet.
    report: Option<FleetReport>,
}

impl Engine {
    /// Speeds of the fleet and starts of urgent work, about once a second; none between two reports.
    pub fn take_fleet_report(&mut self) -> Option<FleetReport> {
        self.fleet_watch.report.take()
    }

    /// Counts the start of a unit.
    pub(super) fn count_urgent_start(
        &mut self,
        round: &Round<'_>,
        unit: &Unit<'_>,
        places: &[usize],
    ) {
        if unit.priority > 0 {
            return;
        }
        let hosts = || places.iter().map(|place| &round.hosts[*place]);
        let Some(slowest) = hosts().map(place::speed_class).min() else {
            return;
        };
        let is_late = hosts().any(|host| place::is_late(unit, host));
        self.fleet_watch.starts[slowest][usize::from(is_late)] += 1;
    }

    /// Reports on the hosts of a round.
    pub(super) fn report_fleet(&mut self, round: &Round<'_>) {
        let mut report = FleetReport {
            is_uneven: self.speeds.is_uneven(),
            measured: self.speeds.measured(),
            spread: self.speeds.spread(),
            urgent_starts: std::mem::take(&mut self.fleet_watch.starts),
            ..FleetReport::default()
        };
        for host in &round.hosts {
            report.upstreams[place::speed_class(host)] += 1;
        }
        // A report that nobody has taken must not lose its counts.
        if let Some(earlier) = self.fleet_watch.report.take() {
            let starts = report.urgent_starts.iter_mut().flatten();
            let earlier = earlier.urgent_starts.into_iter().flatten();
            starts.zip(earlier).for_each(|(sum, count)| *sum += count);
        }
        self.fleet_watch.report = Some(report);
    }
}
