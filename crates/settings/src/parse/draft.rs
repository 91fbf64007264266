use {
    super::{
        faults::Faults,
        located::Located,
        section::{Section, elements, named, number},
    },
    crate::{
        key::{self, Rule},
        settings::{Data, Logs},
    },
    jsonc_parser::{ast::Value, common::Range},
    std::{net::SocketAddr, time::Duration},
};

/// An instance as far as it could be read.
pub struct Draft {
    pub name: Option<Located<String>>,
    pub id: Option<Located<u64>>,
    pub region: Option<Located<String>>,
    pub data_centre: Option<Located<String>>,
    pub peers: Option<Located<SocketAddr>>,
}

impl Draft {
    /// Reads a section with an instance; the instance itself has its peers address elsewhere.
    pub fn read(section: &Section<'_>, listed: bool, faults: &mut Faults) -> Draft {
        Draft {
            name: section.name("name", faults),
            id: section.number("id", faults),
            region: section.name("region", faults),
            data_centre: section.name("data_centre", faults),
            peers: match listed {
                true => section.address("peers", faults),
                false => None,
            },
        }
    }
}

/// The listeners as far as they could be read.
#[derive(Default)]
pub struct Listeners {
    pub api: Option<Located<SocketAddr>>,
    pub requests: Option<Located<SocketAddr>>,
    pub peers: Option<Located<SocketAddr>>,
}

/// A group as far as it could be read.
pub struct Group {
    pub name: Located<String>,
    pub at: Range,
    pub members: Vec<Located<u64>>,
    /// Whether every member could be read.
    pub complete: bool,
}

/// Times and sizes that were given.
#[derive(Default)]
pub struct Values {
    pub max_deadline: Option<Located<Duration>>,
    pub max_body: Option<Located<u64>>,
    pub drain_settle: Option<Located<Duration>>,
    pub drain_bound: Option<Located<Duration>>,
    pub max_connections: Option<Located<u64>>,
    pub caller_stall: Option<Located<Duration>>,
    pub body_memory: Option<Located<u64>>,
    pub api_max_connections: Option<Located<u64>>,
    pub api_caller_stall: Option<Located<Duration>>,
    pub api_body_memory: Option<Located<u64>>,
    pub heartbeat: Option<Located<Duration>>,
    pub election_timeout: Option<Located<Duration>>,
    pub configuration_lease: Option<Located<Duration>>,
    pub worker_lease: Option<Located<Duration>>,
    pub share_lease: Option<Located<Duration>>,
}

/// Everything that could be read, before the parts are compared.
pub struct Drafts {
    pub at: Range,
    pub instance: Option<Draft>,
    pub listeners: Listeners,
    pub instances: Option<Vec<Draft>>,
    pub groups: Option<Located<Vec<Group>>>,
    pub homes: Option<Located<Homes>>,
    pub data: Option<Data>,
    /// Whether the file has the section `data`, readable or not.
    pub has_data: bool,
    pub values: Values,
    pub logs: Logs,
}

impl Drafts {
    pub fn read(root: &Section<'_>, faults: &mut Faults) -> Drafts {
        let data = root.section("data", faults);
        Drafts {
            at: root.at(),
            instance: root
                .section("instance", faults)
                .map(|section| Draft::read(&section, false, faults)),
            listeners: listeners(root, faults),
            instances: root.list("instances", faults).map(|list| {
                list.value
                    .into_iter()
                    .filter_map(|(label, value)| {
                        let section = Section::open(value, "instances[]", label, faults)?;
                        Some(Draft::read(&section, true, faults))
                    })
                    .collect()
            }),
            groups: groups(root, faults),
            homes: homes(root, faults),
            has_data: root.has("data"),
            data: data
                .and_then(|section| section.file("folder", faults))
                .map(|folder| Data { folder }),
            values: values(root, faults),
            logs: root
                .section("logs", faults)
                .map(|section| Logs {
                    level: section.level("level", faults),
                    file: section.file("file", faults),
                })
                .unwrap_or_default(),
        }
    }
}

fn listeners(root: &Section<'_>, faults: &mut Faults) -> Listeners {
    let Some(section) = root.section("listen", faults) else {
        return Listeners::default();
    };
    Listeners {
        api: section.address("api", faults),
        requests: section.address("requests", faults),
        peers: section.address("peers", faults),
    }
}

fn groups(root: &Section<'_>, faults: &mut Faults) -> Option<Located<Vec<Group>>> {
    let map = root.map("groups", faults)?;
    let mut groups = Vec::new();
    for (name, value) in map.value {
        let label = format!("groups.{}", name.value);
        let list = elements(value, &rule("groups.*"), &label, faults);
        let complete = list.is_some();
        let list = list.unwrap_or(Located::new(Vec::new(), name.at));
        let expected = list.value.len();
        let members: Vec<_> = list
            .value
            .into_iter()
            .filter_map(|(label, value)| number(value, &rule("groups.*[]"), &label, faults))
            .collect();
        groups.push(Group {
            name: Located::new(name.value.to_owned(), name.at),
            at: list.at,
            complete: complete && members.len() == expected,
            members,
        });
    }
    Some(Located::new(groups, map.at))
}

/// Group names by region.
type Homes = Vec<(Located<String>, Located<String>)>;

fn homes(root: &Section<'_>, faults: &mut Faults) -> Option<Located<Homes>> {
    let map = root.map("homes", faults)?;
    let homes = map
        .value
        .into_iter()
        .filter_map(|(region, value): (_, &Value<'_>)| {
            let label = format!("homes.{}", region.value);
            let group = named(value, &label, faults)?;
            Some((Located::new(region.value.to_owned(), region.at), group))
        })
        .collect();
    Some(Located::new(homes, map.at))
}

fn values(root: &Section<'_>, faults: &mut Faults) -> Values {
    let mut values = Values::default();
    if let Some(section) = root.section("requests", faults) {
        values.max_deadline = section.time("max_deadline", faults);
        values.max_body = section.size("max_body", faults);
        values.drain_settle = section.time("drain_settle", faults);
        values.drain_bound = section.time("drain_bound", faults);
        values.max_connections = section.number("max_connections", faults);
        values.caller_stall = section.time("caller_stall", faults);
        values.body_memory = section.size("body_memory", faults);
    }
    if let Some(section) = root.section("api", faults) {
        values.api_max_connections = section.number("max_connections", faults);
        values.api_caller_stall = section.time("caller_stall", faults);
        values.api_body_memory = section.size("body_memory", faults);
    }
    if let Some(section) = root.section("timing", faults) {
        values.heartbeat = section.time("heartbeat", faults);
        values.election_timeout = section.time("election_timeout", faults);
        values.configuration_lease = section.time("configuration_lease", faults);
        values.worker_lease = section.time("worker_lease", faults);
        values.share_lease = section.time("share_lease", faults);
    }
    values
}

fn rule(path: &str) -> Rule {
    key::find(path).map_or(Rule::Section, |key| key.rule)
}
