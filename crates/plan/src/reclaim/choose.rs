use {
    super::Victim,
    crate::{
        order::Unit,
        place::{self, Availability, Host, Locality},
    },
    work::collections::IndexMap,
};

/// Finds the victims to preempt for the unit, as positions in `victims`, and the upstreams of its tasks, as positions
/// in `hosts`; none if they cannot free enough.
///
/// Victims of the lowest priority come first, among them those that lose the least work for each accelerator freed. If
/// several racks are possible, the one with the least lost work is chosen.
pub fn choose_victims(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    allowed: &[bool],
    victims: &[Victim],
    locality: Locality,
) -> Option<(Vec<usize>, Vec<usize>)> {
    let candidates = place::candidates(unit, hosts, allowed, locality);
    let mut groups: IndexMap<&str, Vec<usize>> = IndexMap::default();
    for position in candidates {
        let one_rack = unit.step.gang && unit.step.same_rack && locality == Locality::Near;
        let group = if one_rack {
            hosts[position].upstream.rack.as_str()
        } else {
            ""
        };
        groups.entry(group).or_default().push(position);
    }
    let choices = groups
        .values()
        .filter_map(|members| choose_among(unit, hosts, members, victims));
    let (_, chosen, places) = choices.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
    Some((chosen, places))
}

/// Chooses among the hosts in `members`; the first value of the result is the lost work in core-seconds.
fn choose_among(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    members: &[usize],
    victims: &[Victim],
) -> Option<(f64, Vec<usize>, Vec<usize>)> {
    let mut order: Vec<(usize, f64)> = victims
        .iter()
        .enumerate()
        .filter_map(|(position, victim)| {
            let freed = victim.accelerators(members);
            (freed > 0).then(|| (position, victim.lost_core_seconds / freed as f64))
        })
        .collect();
    order.sort_by(|(a, a_cost), (b, b_cost)| {
        let priorities = victims[*b].priority.cmp(&victims[*a].priority);
        priorities.then(a_cost.total_cmp(b_cost))
    });
    let mut targets: Vec<Host<'_>> = members
        .iter()
        .map(|position| hosts[*position].clone())
        .collect();
    let slots = |targets: &[Host<'_>]| -> usize {
        targets
            .iter()
            .map(|host| host.slots(unit, Availability::Soon))
            .sum()
    };
    let mut chosen = Vec::new();
    for (position, _) in order {
        if slots(&targets) >= unit.tasks.len() {
            break;
        }
        set_freed(&mut targets, members, &victims[position], true);
        chosen.push(position);
    }
    if slots(&targets) < unit.tasks.len() {
        return None;
    }
    // Earlier victims may be unnecessary once a later one has freed enough.
    let mut needed = chosen.clone();
    for position in chosen {
        set_freed(&mut targets, members, &victims[position], false);
        if slots(&targets) >= unit.tasks.len() {
            needed.retain(|other| *other != position);
        } else {
            set_freed(&mut targets, members, &victims[position], true);
        }
    }
    let all: Vec<usize> = (0..targets.len()).collect();
    let places = place::best_fit(unit, &targets, &all, Availability::Soon)?;
    let places = places.into_iter().map(|place| members[place]).collect();
    let cost = needed
        .iter()
        .map(|position| victims[*position].lost_core_seconds)
        .sum();
    Some((cost, needed, places))
}

/// Frees the resources of a victim, or takes them back.
fn set_freed(targets: &mut [Host<'_>], members: &[usize], victim: &Victim, free: bool) {
    for (host, resources) in &victim.resources {
        let Some(place) = members.iter().position(|member| member == host) else {
            continue;
        };
        if free {
            targets[place].free_soon += *resources;
        } else {
            targets[place].free_soon -= *resources;
        }
    }
}
