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
    let mut victims_on_host: Vec<Vec<usize>> = vec![Vec::new(); hosts.len()];
    for (position, victim) in victims.iter().enumerate() {
        for (host, _) in &victim.resources {
            victims_on_host[*host].push(position);
        }
    }
    let choices = groups.values().filter_map(|members| {
        let mut relevant: Vec<usize> = members
            .iter()
            .flat_map(|member| victims_on_host[*member].iter().copied())
            .collect();
        relevant.sort_unstable();
        relevant.dedup();
        Group::new(unit, hosts, members).choose(victims, &relevant)
    });
    let (_, chosen, places) = choices.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
    Some((chosen, places))
}

/// Upstreams on which a unit may be placed together, with the resources that chosen victims would free.
struct Group<'u, 'h> {
    unit: &'u Unit<'u>,
    /// Positions of the upstreams among all hosts.
    members: &'u [usize],
    /// Place of each host in `members`.
    places: IndexMap<usize, usize>,
    targets: Vec<Host<'h>>,
    /// Number of tasks of the unit that fit on all targets.
    slots: usize,
}

impl<'u, 'h> Group<'u, 'h> {
    fn new(unit: &'u Unit<'u>, hosts: &[Host<'h>], members: &'u [usize]) -> Group<'u, 'h> {
        let targets: Vec<Host<'h>> = members
            .iter()
            .map(|position| hosts[*position].clone())
            .collect();
        let slots = targets.iter().map(|host| slots_of(unit, host));
        Group {
            unit,
            members,
            places: members
                .iter()
                .enumerate()
                .map(|(place, member)| (*member, place))
                .collect(),
            slots: slots.sum(),
            targets,
        }
    }

    /// Chooses among the relevant victims; the first value of the result is the lost work in core-seconds.
    fn choose(
        mut self,
        victims: &[Victim],
        relevant: &[usize],
    ) -> Option<(f64, Vec<usize>, Vec<usize>)> {
        let needed_slots = self.unit.tasks.len();
        let mut order: Vec<(usize, f64)> = relevant
            .iter()
            .filter_map(|position| {
                let victim = &victims[*position];
                let freed = self.accelerators_of(victim);
                (freed > 0).then(|| (*position, victim.lost_core_seconds / freed as f64))
            })
            .collect();
        order.sort_by(|(a, a_cost), (b, b_cost)| {
            let priorities = victims[*b].priority.cmp(&victims[*a].priority);
            priorities.then(a_cost.total_cmp(b_cost))
        });
        let mut chosen = Vec::new();
        for (position, _) in order {
            if self.slots >= needed_slots {
                break;
            }
            self.set_freed(&victims[position], true);
            chosen.push(position);
        }
        if self.slots < needed_slots {
            return None;
        }
        // Earlier victims may be unnecessary once a later one has freed enough.
        let mut needed = chosen.clone();
        for position in chosen {
            self.set_freed(&victims[position], false);
            if self.slots >= needed_slots {
                needed.retain(|other| *other != position);
            } else {
                self.set_freed(&victims[position], true);
            }
        }
        let all: Vec<usize> = (0..self.targets.len()).collect();
        let places = place::best_fit(self.unit, &self.targets, &all, Availability::Soon)?;
        let places = places
            .into_iter()
            .map(|place| self.members[place])
            .collect();
        let cost = needed
            .iter()
            .map(|position| victims[*position].lost_core_seconds)
            .sum();
        Some((cost, needed, places))
    }

    /// Number of accelerators that a victim holds here.
    fn accelerators_of(&self, victim: &Victim) -> i64 {
        let here = victim
            .resources
            .iter()
            .filter(|(host, _)| self.places.contains_key(host));
        here.map(|(_, resources)| resources.accelerators).sum()
    }

    /// Frees the resources of a victim, or takes them back.
    fn set_freed(&mut self, victim: &Victim, free: bool) {
        for (host, resources) in &victim.resources {
            let Some(place) = self.places.get(host) else {
                continue;
            };
            let target = &mut self.targets[*place];
            self.slots -= slots_of(self.unit, target);
            match free {
                true => target.free_soon += *resources,
                false => target.free_soon -= *resources,
            }
            self.slots += slots_of(self.unit, target);
        }
    }
}

fn slots_of(unit: &Unit<'_>, host: &Host<'_>) -> usize {
    // A task without requirements fits any number of times; the limit keeps sums in range.
    host.slots(unit, Availability::Soon).min(unit.tasks.len())
}
