use {
    super::{Availability, Host, like_speed},
    crate::order::Unit,
    work::collections::IndexMap,
};

/// How close to its data and to each other the tasks of a unit must run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Locality {
    /// On the rack of the data, and on one rack if the gang asks for that.
    Near,
    /// On any rack.
    Far,
}

/// Finds an upstream for each task of a gang, as positions in `hosts`; none if the gang does not fit.
///
/// Chooses the rack with the fewest slots left that still takes the whole gang, and the fullest upstreams on it. This
/// best fit leaves whole racks and upstreams for wide gangs. Urgent work prefers the fastest data centre, and there the
/// racks that are set aside for it. Where speeds differ, racks on which the gang is in time come first, and of these those
/// with the speeds that suit it; best fit decides among equals.
pub fn gang(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    allowed: &[bool],
    availability: Availability,
    locality: Locality,
) -> Option<Vec<usize>> {
    let candidates = candidates(unit, hosts, allowed, locality);
    if locality == Locality::Far || !unit.step.same_rack {
        return best_fit(unit, hosts, &candidates, availability);
    }
    let mut racks: IndexMap<&str, Vec<usize>> = IndexMap::default();
    for position in candidates {
        racks
            .entry(&hosts[position].upstream.rack)
            .or_default()
            .push(position);
    }
    let fitting = racks.values().filter_map(|members| {
        let slots: usize = members
            .iter()
            .map(|position| hosts[*position].slots(unit, availability))
            .sum();
        if slots < unit.tasks.len() {
            return None;
        }
        let window = like_speed::window(unit, hosts, members, availability)?;
        let (is_late, preference, waste) = window.order;
        let (slowness, shared) = members
            .first()
            .map_or((0, true), |position| urgent_order(unit, &hosts[*position]));
        let order = (is_late, preference, slowness, shared, waste, slots);
        Some((order, members))
    });
    let (_, members) = fitting.min_by_key(|(order, _)| *order)?;
    best_fit(unit, hosts, members, availability)
}

/// Fills the given upstreams, of those of like speed the fullest first; none if the tasks do not fit.
pub fn best_fit(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    candidates: &[usize],
    availability: Availability,
) -> Option<Vec<usize>> {
    let mut candidates = candidates.to_vec();
    if are_alike(hosts, &candidates) {
        candidates.sort_by_key(|position| preference(unit, &hosts[*position]));
    } else {
        let slowest = like_speed::window(unit, hosts, &candidates, availability)?.slowest;
        candidates.retain(|position| like_speed::class(&hosts[*position]) >= slowest);
        candidates.sort_by_cached_key(|position| {
            let host = &hosts[*position];
            let (_, _, urgent_order, free) = preference(unit, host);
            (like_speed::class(host), urgent_order, free)
        });
    }
    let mut chosen = Vec::with_capacity(unit.tasks.len());
    for position in candidates {
        let missing = unit.tasks.len() - chosen.len();
        let slots = hosts[position].slots(unit, availability).min(missing);
        chosen.extend(std::iter::repeat_n(position, slots));
        if chosen.len() == unit.tasks.len() {
            return Some(chosen);
        }
    }
    None
}

/// Finds an upstream for one task, as a position in `hosts`.
pub fn single(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    allowed: &[bool],
    locality: Locality,
) -> Option<usize> {
    fill(unit, hosts, allowed, locality, 1).first().copied()
}

/// Finds upstreams for up to `count` single tasks of a unit, as positions in `hosts`. Fills the fullest ones first.
pub fn fill(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    allowed: &[bool],
    locality: Locality,
    count: usize,
) -> Vec<usize> {
    let mut fitting: Vec<(usize, usize)> = candidates(unit, hosts, allowed, locality)
        .into_iter()
        .map(|position| (position, hosts[position].slots(unit, Availability::Now)))
        .filter(|(_, slots)| *slots > 0)
        .collect();
    fitting.sort_by_cached_key(|(position, _)| preference(unit, &hosts[*position]));
    let places = fitting.into_iter().flat_map(|(position, slots)| {
        let slots = if unit.needs_own_upstream() { 1 } else { slots };
        std::iter::repeat_n(position, slots)
    });
    places.take(count).collect()
}

/// Whether the upstreams have like speeds.
fn are_alike(hosts: &[Host<'_>], positions: &[usize]) -> bool {
    let mut classes = positions
        .iter()
        .map(|position| like_speed::class(&hosts[*position]));
    let first = classes.next();
    classes.all(|class| Some(class) == first)
}

/// Sort key of upstreams, best first: those where the unit is in time, the speeds that suit it, the order for urgent
/// work, then the fullest upstream.
fn preference(unit: &Unit<'_>, host: &Host<'_>) -> (bool, i32, (u32, bool), i64) {
    let (is_late, speed) = like_speed::order(unit, like_speed::class(host));
    let free = host.free.accelerators;
    (is_late, speed, urgent_order(unit, host), free)
}

/// Sort key of upstreams for urgent work, best first: the fastest data centres, because it has little slack; then
/// those that are set aside for it. The same for all upstreams for other work.
fn urgent_order(unit: &Unit<'_>, host: &Host<'_>) -> (u32, bool) {
    match unit.priority {
        0 => (host.slowness, !host.set_aside),
        _ => (0, false),
    }
}

/// Whether the unit would fit near its data and its other members if nothing else ran there.
pub fn could_be_near(unit: &Unit<'_>, hosts: &[Host<'_>], allowed: &[bool]) -> bool {
    let needed = if unit.step.gang { unit.tasks.len() } else { 1 };
    let mut racks: IndexMap<&str, usize> = IndexMap::default();
    for position in candidates(unit, hosts, allowed, Locality::Near) {
        let upstream = hosts[position].upstream;
        let one_rack = unit.step.gang && unit.step.same_rack;
        let rack = if one_rack { upstream.rack.as_str() } else { "" };
        let fitting = upstream.capacity.multiples_of(&unit.resources);
        let slots = unit
            .step
            .spread
            .map_or(fitting, |limit| fitting.min(usize::from(limit)));
        let total = racks.entry(rack).or_default();
        *total = total.saturating_add(slots);
        if *total >= needed {
            return true;
        }
    }
    false
}

/// Upstreams that may run the unit, as positions in `hosts`.
pub fn candidates(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    allowed: &[bool],
    locality: Locality,
) -> Vec<usize> {
    let is_near = |host: &Host<'_>| {
        let rack = unit.step.data_rack.as_ref();
        rack.is_none_or(|rack| *rack == host.upstream.rack)
    };
    let positions = hosts.iter().enumerate().zip(allowed);
    positions
        .filter(|((_, host), allowed)| {
            **allowed && host.accepts(unit) && (locality == Locality::Far || is_near(host))
        })
        .map(|((position, _), _)| position)
        .collect()
}
