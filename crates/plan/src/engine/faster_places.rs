use {
    super::{Engine, obstacle::Obstacle, round::Round},
    crate::{
        order::Unit,
        place::{self, Availability, Host, Locality},
    },
    std::time::Duration,
};

/// Time from an order to stop a run until its room is taken, besides the stop itself: its delivery and two commits.
const CLAIM_DELAY: Duration = Duration::from_millis(150);

/// Room on upstreams that are fast enough for an urgent gang, where other work is in its way.
impl Engine {
    /// Upstreams on which the unit is in time if other work is stopped there for it; none if that makes no difference: the
    /// fleet counts as alike, the unit may preempt nothing, its guarantee would be missed, or it is late everywhere.
    pub(super) fn in_time_after_stop(
        &self,
        round: &Round<'_>,
        unit: &Unit<'_>,
        allowed: &[bool],
    ) -> Option<Vec<bool>> {
        let may_preempt = unit.rank.preemption_budget(0.0).is_some() && !self.must_start(unit);
        if !self.speeds.is_uneven() || !self.settings.uses_speeds || !may_preempt {
            return None;
        }
        let delay = self.settings.stop_timeout + CLAIM_DELAY;
        let later = Unit {
            left_ms: unit.left_ms - delay.as_secs_f64() * 1000.0,
            ..unit.clone()
        };
        let hosts = round.hosts.iter().zip(allowed);
        let in_time = hosts.map(|(host, allowed)| *allowed && !place::is_late(&later, host));
        let in_time: Vec<bool> = in_time.collect();
        in_time.contains(&true).then_some(in_time)
    }

    /// Whether a gang is late on these places even if they are faster than they seem. Stopping other work loses some of it, so
    /// it must not be due to a wrong speed.
    pub(super) fn is_certainly_late(
        &self,
        round: &Round<'_>,
        unit: &Unit<'_>,
        places: &[usize],
    ) -> bool {
        places.iter().any(|place| {
            let host = &round.hosts[*place];
            let hopeful = Host {
                speed: self.speeds.hopeful_speed(host.upstream),
                ..host.clone()
            };
            place::is_late(unit, &hopeful)
        })
    }

    /// Claims room for a gang on upstreams where it is in time: room that is being freed, or that of other work within the
    /// budget for preemption. Returns whether the gang waits for it.
    pub(super) fn claim_in_time<'a>(
        &mut self,
        round: &mut Round<'a>,
        unit: &Unit<'a>,
        in_time: &[bool],
        locality: Locality,
    ) -> bool {
        self.effort.planned += round.hosts.len() as u64;
        let soon = Availability::Soon;
        if let Some(places) = place::gang(unit, &round.hosts, in_time, soon, locality) {
            round.reserve(unit, &places);
            return true;
        }
        self.preempt_for_gang(round, unit, in_time, locality) == Some(Obstacle::Freeing)
    }
}
