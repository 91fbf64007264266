use {super::Supply, crate::place::Host, work::collections::IndexMap};

/// Sets upstreams of a service aside for urgent work until this number of accelerators is free on them; none while the
/// service is idle.
///
/// Whole racks are set aside, first those where other work uses the fewest accelerators. Accelerators that are free
/// here and there are of no use to a gang that needs whole upstreams of one rack, however many there are.
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
    for (_, mut members) in racks.into_values() {
        members.sort_by_key(|position| hosts[*position].other_work);
        for position in members {
            if supply.reserved >= accelerators {
                return;
            }
            hosts[position].set_aside = true;
            supply.reserved += hosts[position].free_soon.accelerators.max(0);
        }
    }
}
