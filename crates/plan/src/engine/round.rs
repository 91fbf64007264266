use {
    super::obstacle::Obstacle,
    crate::{
        headroom::Supply,
        order::{Rank, Unit},
        place::{self, Attempts, Availability, Host, Locality},
        reclaim::Victim,
    },
    work::{
        collections::{IndexMap, IndexSet},
        id,
        job::Resources,
        registry::Registry,
    },
};

/// State of one planning round.
pub(super) struct Round<'a> {
    pub registry: &'a Registry,
    pub hosts: Vec<Host<'a>>,
    /// Positions in `hosts`, by upstream.
    pub positions: IndexMap<&'a id::Upstream, usize>,
    /// Whether a service counts as idle, by service.
    pub idle: IndexMap<&'a str, bool>,
    /// Number of tasks assigned so far.
    pub assigned: usize,
    /// Number of units for which victims were searched so far.
    pub victim_searches: usize,
    /// Accounts whose jobs of priority 0 are covered by their guarantee.
    pub guaranteed: IndexSet<&'a str>,
    /// Resources that urgent work uses, by service.
    pub urgent_usage: IndexMap<&'a str, Resources>,
    /// Accelerators, by service.
    pub supply: IndexMap<&'a str, Supply>,
    /// Places reserved for units that have preempted work for them, by the first task of the step.
    pub reservations: IndexMap<id::Task, Vec<usize>>,
    /// Whether the round is followed by a report on what waits.
    pub is_reported: bool,
    /// Placements that failed.
    pub attempts: Attempts<'a>,
    /// Running work that may be preempted, by the kind of work for which it may.
    pub victims: IndexMap<Claim<'a>, Vec<Victim>>,
}

/// What decides which running work may be preempted for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Claim<'a> {
    pub priority: u8,
    /// The account, if its guarantee covers the unit and must be met now, whatever it costs.
    pub guaranteed: Option<Option<&'a str>>,
}

impl Claim<'_> {
    /// Rank by which a unit preempts: guaranteed work is urgent work as long as its guarantee is not due.
    pub fn rank(&self, unit: &Unit<'_>) -> Rank {
        match (unit.rank, self.guaranteed) {
            (Rank::Guaranteed, None) => Rank::Urgent,
            (rank, _) => rank,
        }
    }
}

impl Round<'_> {
    /// Counts the accelerators of each service.
    pub fn count_supply(&mut self) {
        for host in &self.hosts {
            let service = host.upstream.service.as_str();
            let supply = self.supply.entry(service).or_default();
            supply.free += host.free_soon.accelerators.max(0);
            supply.capacity += host.upstream.capacity.accelerators;
        }
    }

    /// How many tasks of a unit may be started.
    pub fn allowance(&self, unit: &Unit<'_>) -> usize {
        let supply = self.supply.get(unit.service);
        supply.map_or(0, |supply| supply.allowance(unit))
    }

    /// Reserves resources for tasks of a unit.
    pub fn reserve(&mut self, unit: &Unit<'_>, places: &[usize]) {
        for place in places {
            let host = &mut self.hosts[*place];
            host.reserve(unit);
            host.has_suspect |= unit.suspect;
            if let Some(supply) = self.supply.get_mut(unit.service) {
                supply.allocate(unit, host.set_aside);
            }
        }
    }
}

/// Reasons for reports.
impl Round<'_> {
    /// Why a gang that was not placed does not fit. Examines all upstreams, so only for reported rounds.
    pub fn gang_obstacle(&self, unit: &Unit<'_>, allowed: &[bool], locality: Locality) -> Obstacle {
        if !self.is_reported {
            return Obstacle::Room;
        }
        let fits = |hosts: &[Host<'_>], locality| {
            place::gang(unit, hosts, allowed, Availability::Now, locality).is_some()
        };
        let mut unrestricted = self.hosts.clone();
        for host in &mut unrestricted {
            host.set_aside = false;
            host.collecting = false;
        }
        match locality {
            _ if fits(&unrestricted, locality) => Obstacle::Headroom,
            Locality::Near if fits(&self.hosts, Locality::Far) => Obstacle::Rack,
            _ => Obstacle::Room,
        }
    }
}

/// Reservations.
impl Round<'_> {
    /// Takes back what was reserved for tasks of a unit.
    pub fn release(&mut self, unit: &Unit<'_>, places: &[usize]) {
        for place in places {
            let host = &mut self.hosts[*place];
            host.free += unit.resources;
            host.free_soon += unit.resources;
            if let Some(supply) = self.supply.get_mut(unit.service) {
                supply.free += unit.resources.accelerators;
            }
        }
    }

    /// Positions of upstreams; none if one of them cannot take work.
    pub fn places_of(&self, upstreams: &[id::Upstream]) -> Option<Vec<usize>> {
        let positions = upstreams.iter().map(|id| self.positions.get(id).copied());
        positions.collect()
    }

    /// Whether these places accept the unit and all of its tasks fit there.
    pub fn has_slots(&self, unit: &Unit<'_>, places: &[usize], availability: Availability) -> bool {
        let mut needed: IndexMap<usize, usize> = IndexMap::default();
        for place in places {
            *needed.entry(*place).or_default() += 1;
        }
        let mut needed = needed.into_iter();
        needed.all(|(place, count)| {
            let host = &self.hosts[place];
            host.accepts(unit) && host.slots(unit, availability) >= count
        })
    }
}
