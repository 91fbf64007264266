use {
    super::Supply,
    crate::place::{self, Host},
    work::collections::IndexMap,
};

/// Sets upstreams of a service aside for urgent work until this number of accelerators is free on them; none while the
/// service is idle.
///
/// Whole racks are set aside, first those where other work uses the fewest accelerators. Accelerators that are free
/// here and there are of no use to a gang that needs whole upstreams of one rack, however many there are. Where speeds
/// differ, slow upstreams are set aside last, as urgent work is late there.
pub fn set_aside(hosts: &mut [Host<'_>], service: &str, supply: &mut Supply, accelerators: i64) {
    supply.reserved = 0;
    if supply.is_idle() {
        return;
    }
    let mut racks: IndexMap<&str, (i64, Vec<usize>)> = IndexMap::default();
    for (position, host) in hosts.iter().enumerate() {
        if host.upstream.service == service {
            let (other_work, members) = racks.entry(&host.upstream.rack).or_default();
            *other_work += host.other_work;
            members.push(position);
        }
    }
    racks.sort_by(|_, (a, _), _, (b, _)| a.cmp(b));
    for (_, members) in racks.values_mut() {
        members.sort_by_key(|position| hosts[*position].other_work);
    }
    for is_slow in [false, true] {
        let members = racks.values().flat_map(|(_, members)| members);
        for position in members {
            let host = &mut hosts[*position];
            if place::is_slow(host) != is_slow {
                continue;
            }
            if supply.reserved >= accelerators {
                return;
            }
            host.set_aside = true;
            supply.reserved += host.free_soon.accelerators.max(0);
        }
    }
}
