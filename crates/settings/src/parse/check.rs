//! Comparison of the parts of a file with each other.

use {
    super::{
        draft::{Draft, Drafts, Group, Listeners},
        faults::Faults,
        located::Located,
    },
    crate::settings::{Requests, Timing},
    std::{collections::BTreeMap, fmt::Display},
};

/// Heartbeats that must fit into an election timeout, so that one lost message starts no election.
const HEARTBEATS_PER_TIMEOUT: u32 = 3;

/// Reports every contradiction between parts that could be read.
pub fn compare(drafts: &Drafts, requests: &Requests, timing: &Timing, faults: &mut Faults) {
    if let Some(instances) = &drafts.instances {
        unique(instances, faults);
        own_entry(drafts, instances, faults);
    }
    listeners(&drafts.listeners, faults);
    groups(drafts, faults);
    homes(drafts, faults);
    values(drafts, requests, timing, faults);
}

fn unique(instances: &[Draft], faults: &mut Faults) {
    distinct("name", instances.iter().map(|draft| &draft.name), faults);
    distinct("id", instances.iter().map(|draft| &draft.id), faults);
    distinct(
        "address",
        instances.iter().map(|draft| &draft.peers),
        faults,
    );
}

fn distinct<'a, T: Display + Ord + 'a>(
    what: &str,
    values: impl Iterator<Item = &'a Option<Located<T>>>,
    faults: &mut Faults,
) {
    let mut first = BTreeMap::new();
    for located in values.flatten() {
        let count = first.entry(&located.value).or_insert(0);
        *count += 1;
        if *count == 2 {
            faults.add(
                located.at,
                format!("two instances have the {what} {}", located.value),
                format!("give each instance its own {what}"),
            );
        }
    }
}

fn own_entry(drafts: &Drafts, instances: &[Draft], faults: &mut Faults) {
    let Some(own) = &drafts.instance else { return };
    let Some(name) = &own.name else { return };
    let listed = instances
        .iter()
        .find(|draft| draft.name.as_ref().is_some_and(|n| n.value == name.value));
    let Some(listed) = listed else {
        if instances.iter().all(|draft| draft.name.is_some()) {
            faults.add(
                name.at,
                format!("instance `{}` is not in `instances`", name.value),
                "add it to the list, on this and all other instances",
            );
        }
        return;
    };
    let name = &name.value;
    same(name, "id", &own.id, &listed.id, faults);
    same(name, "region", &own.region, &listed.region, faults);
    same(
        name,
        "data_centre",
        &own.data_centre,
        &listed.data_centre,
        faults,
    );
    same(
        name,
        "peers",
        &drafts.listeners.peers,
        &listed.peers,
        faults,
    );
}

fn same<T: Display + PartialEq>(
    name: &str,
    key: &str,
    own: &Option<Located<T>>,
    listed: &Option<Located<T>>,
    faults: &mut Faults,
) {
    if let (Some(own), Some(listed)) = (own, listed)
        && own.value != listed.value
    {
        faults.add(
            own.at,
            format!(
                "`{key}` is {} here and {} in the entry `{name}` of `instances`",
                own.value, listed.value
            ),
            "make both the same",
        );
    }
}

fn listeners(listeners: &Listeners, faults: &mut Faults) {
    let all = [
        ("api", &listeners.api),
        ("requests", &listeners.requests),
        ("peers", &listeners.peers),
    ];
    for (position, (name, address)) in all.iter().enumerate() {
        let Some(address) = address else { continue };
        let earlier = all[..position].iter().find(|(_, other)| {
            other
                .as_ref()
                .is_some_and(|other| other.value == address.value)
        });
        if let Some((other, _)) = earlier {
            faults.add(
                address.at,
                format!(
                    "`listen.{name}` and `listen.{other}` are both {}",
                    address.value
                ),
                "give each listener its own port",
            );
        }
    }
}

fn groups(drafts: &Drafts, faults: &mut Faults) {
    let Some(groups) = &drafts.groups else { return };
    if !groups
        .value
        .iter()
        .any(|group| group.name.value == "config")
    {
        faults.add(
            groups.at,
            "`groups` has no group `config`",
            "add `\"config\": [..]` with the ids of control instances of all regions",
        );
    }
    for group in &groups.value {
        members(group, drafts, faults);
    }
    let Some(id) = drafts.instance.as_ref().and_then(|own| own.id.as_ref()) else {
        return;
    };
    let member_of = groups
        .value
        .iter()
        .find(|group| group.members.iter().any(|member| member.value == id.value));
    if let (Some(group), false) = (member_of, drafts.has_data) {
        faults.add(
            id.at,
            format!(
                "instance {} is a member of group `{}` and has no data folder",
                id.value, group.name.value
            ),
            "add `\"data\": { \"folder\": .. }` on a disk of this machine, or remove it from the \
             group",
        );
    }
}

fn members(group: &Group, drafts: &Drafts, faults: &mut Faults) {
    let name = &group.name.value;
    let count = group.members.len();
    // A list of another length than 1 to 7 is reported where it is read.
    if group.complete && (1..=7).contains(&count) && count.is_multiple_of(2) {
        faults.add(
            group.at,
            format!("group `{name}` has {count} members"),
            "use an odd number: one more member of an even group survives no more failures",
        );
    }
    let ids = known_ids(drafts);
    let mut seen = Vec::new();
    for member in &group.members {
        if seen.contains(&member.value) {
            faults.add(
                member.at,
                format!("group `{name}` names instance {} twice", member.value),
                "name each member once",
            );
        }
        seen.push(member.value);
        if ids.as_ref().is_some_and(|ids| !ids.contains(&member.value)) {
            faults.add(
                member.at,
                format!(
                    "group `{name}` names instance {}, which is unknown",
                    member.value
                ),
                format!("use ids of `instances`: {}", join(ids.iter().flatten())),
            );
        }
    }
}

fn homes(drafts: &Drafts, faults: &mut Faults) {
    let Some(homes) = &drafts.homes else { return };
    let regions = known(drafts, |draft| Some(draft.region.as_ref()?.value.clone()));
    for (region, group) in &homes.value {
        // The absence of `config` is reported once, at `groups`.
        if let Some(groups) = &drafts.groups
            && group.value != "config"
            && !groups
                .value
                .iter()
                .any(|known| known.name.value == group.value)
        {
            faults.add(
                group.at,
                format!(
                    "the home of region `{}` is group `{}`, which is unknown",
                    region.value, group.value
                ),
                format!(
                    "use a group of `groups`: {}",
                    join(groups.value.iter().map(|known| &known.name.value))
                ),
            );
        }
        if let Some(regions) = &regions
            && !regions.contains(&region.value)
        {
            faults.add(
                region.at,
                format!(
                    "`homes` names region `{}`, which has no instance",
                    region.value
                ),
                format!("use regions of `instances`: {}", join(regions)),
            );
        }
    }
    for region in regions.iter().flatten() {
        if !homes.value.iter().any(|(name, _)| name.value == *region) {
            faults.add(
                homes.at,
                format!("region `{region}` has no home"),
                format!("add `\"{region}\": ..` with the group that keeps its jobs and claims"),
            );
        }
    }
}

fn values(drafts: &Drafts, requests: &Requests, timing: &Timing, faults: &mut Faults) {
    let values = &drafts.values;
    if let Some(bound) = &values.drain_bound
        && requests.drain_bound < requests.max_deadline
    {
        faults.add(
            bound.at,
            "`requests.drain_bound` is shorter than `requests.max_deadline`",
            "a shutdown would interrupt requests; make it at least as long, or leave it out",
        );
    }
    if timing.heartbeat * HEARTBEATS_PER_TIMEOUT > timing.election_timeout {
        let at = [&values.heartbeat, &values.election_timeout]
            .into_iter()
            .flatten()
            .next();
        faults.add(
            at.map_or(drafts.at, |value| value.at),
            "`timing.election_timeout` is shorter than three times `timing.heartbeat`",
            "a single lost heartbeat would start an election; make the heartbeat shorter",
        );
    }
}

/// Ids of all instances; none if an entry could not be read.
fn known_ids(drafts: &Drafts) -> Option<Vec<u64>> {
    known(drafts, |draft| Some(draft.id.as_ref()?.value))
}

fn known<T: Ord>(drafts: &Drafts, value: impl Fn(&Draft) -> Option<T>) -> Option<Vec<T>> {
    let mut values: Vec<_> = drafts
        .instances
        .as_ref()?
        .iter()
        .map(value)
        .collect::<Option<_>>()?;
    values.sort_unstable();
    values.dedup();
    Some(values)
}

fn join<T: Display>(values: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<_> = values.into_iter().map(|value| value.to_string()).collect();
    texts.join(", ")
}
