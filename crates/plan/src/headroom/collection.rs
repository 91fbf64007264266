use {
    super::Supply,
    crate::{
        order::{Rank, Unit},
        place::{self, Availability, Host, Locality},
    },
    std::cmp::Reverse,
    work::collections::IndexMap,
};

/// Keeps other work away from upstreams on which a gang will fit once the single tasks there have ended. This is done
/// for one gang of a service at a time, and not for late gangs.
///
/// A gang needs many accelerators at once, often all of a rack, while single tasks take each accelerator as it becomes
/// free. Of all racks that could take the gang, the one where most of its tasks fit already is chosen, so that the
/// choice stays the same while room is collected.
pub fn collect(
    unit: &Unit<'_>,
    hosts: &mut [Host<'_>],
    allowed: &[bool],
    locality: Locality,
    supply: &mut Supply,
) {
    if supply.is_collecting || !matches!(unit.rank, Rank::OnTime(_)) {
        return;
    }
    let one_rack = unit.step.same_rack && locality == Locality::Near;
    let mut groups: IndexMap<&str, Vec<Candidate>> = IndexMap::default();
    for position in place::candidates(unit, hosts, allowed, locality) {
        let host = &hosts[position];
        let candidate = Candidate {
            position,
            free: host.slots(unit, Availability::Soon),
            collectable: host.slots_without_single_work(unit),
        };
        let group = match one_rack {
            true => host.upstream.rack.as_str(),
            false => "",
        };
        if candidate.collectable > 0 {
            groups.entry(group).or_default().push(candidate);
        }
    }
    let sum = |group: &[Candidate], slots: fn(&Candidate) -> usize| -> usize {
        group.iter().map(slots).sum()
    };
    let needed = unit.tasks.len();
    let fitting = groups
        .into_values()
        .filter(|group| sum(group, |candidate| candidate.collectable) >= needed);
    let Some(mut group) = fitting.max_by_key(|group| sum(group, |candidate| candidate.free)) else {
        return;
    };
    group.sort_by_key(|candidate| (Reverse(candidate.free), candidate.collectable));
    let mut collected = 0;
    for candidate in group {
        if collected >= needed {
            break;
        }
        collected += candidate.collectable;
        hosts[candidate.position].collecting = true;
    }
    supply.is_collecting = true;
}

/// An upstream on which room for a gang may be collected.
struct Candidate {
    /// Its position among the hosts.
    position: usize,
    /// Tasks that fit now.
    free: usize,
    /// Tasks that fit once the single tasks have ended.
    collectable: usize,
}
