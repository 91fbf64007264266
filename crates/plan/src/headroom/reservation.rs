use {
    crate::place::Host,
    indexmap::IndexMap,
};

/// Sets upstreams of a service aside for urgent work until this number of accelerators is free on them, and returns
/// how many are.
///
/// Whole racks are set aside, first those where other work uses the fewest accelerators. Accelerators that are free
/// here and there are of no use to a gang that needs whole upstreams of one rack, however many there are.
pub fn set_aside(hosts: &mut [Host<'_>], service: &str, accelerators: i64) -> i64 {
    let mut racks: IndexMap<&str, (i64, Vec<usize>)> = IndexMap::new();
    for (position, host) in hosts.iter().enumerate() {
        if host.upstream.service == service {
            let (other_work, members) = racks.entry(&host.upstream.rack).or_default();
            *other_work += host.other_work;
            members.push(position);
        }
    }
    racks.sort_by(|_, (a, _), _, (b, _)| a.cmp(b));
    let mut free = 0;
    for (_, mut members) in racks.into_values() {
        members.sort_by_key(|position| hosts[*position].other_work);
        for position in members {
            if free >= accelerators {
                return free;
            }
            hosts[position].set_aside = true;
            free += hosts[position].free_soon.accelerators.max(0);
        }
    }
    free
}
