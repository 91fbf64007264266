use {
    super::{Key, Rule},
    std::time::Duration,
};

const MIB: u64 = 1 << 20;

/// Instances of a deployment.
const MAX_INSTANCES: usize = 8;

/// Groups of a deployment: `config` and one for each region of at most seven.
const MAX_GROUPS: usize = 8;

/// Ids are small numbers chosen by the operator.
const ID: Rule = Rule::Number {
    least: 1,
    most: 65_535,
};

/// Every key that a settings file may contain.
pub const KEYS: &[Key] = &[
    required("instance", Rule::Section, "{ .. }"),
    required("instance.name", Rule::Name, "\"a1\""),
    required("instance.id", ID, "1"),
    required("instance.region", Rule::Name, "\"vestland\""),
    required("instance.data_centre", Rule::Name, "\"bergen-a\""),
    required("listen", Rule::Section, "{ .. }"),
    required("listen.api", Rule::Address, "\"127.0.0.1:7101\""),
    required("listen.requests", Rule::Address, "\"127.0.0.1:7201\""),
    required("listen.peers", Rule::Address, "\"127.0.0.1:7301\""),
    required("instances", list(1, MAX_INSTANCES), "[ .. ]"),
    required("instances[]", Rule::Section, "{ .. }"),
    required("instances[].name", Rule::Name, "\"a1\""),
    required("instances[].id", ID, "1"),
    required("instances[].region", Rule::Name, "\"vestland\""),
    required("instances[].data_centre", Rule::Name, "\"bergen-a\""),
    required("instances[].peers", Rule::Address, "\"127.0.0.1:7301\""),
    required("groups", map(1, MAX_GROUPS), "{ \"config\": [1, 2, 3] }"),
    required("groups.*", list(1, 7), "[1, 2, 3]"),
    required("groups.*[]", ID, "1"),
    required(
        "homes",
        map(1, MAX_INSTANCES),
        "{ \"vestland\": \"vestland\" }",
    ),
    required("homes.*", Rule::Name, "\"vestland\""),
    optional("data", Rule::Section, "{ \"folder\": \"data/a1\" }"),
    required("data.folder", Rule::Path, "\"data/a1\""),
    optional("requests", Rule::Section, "{ .. }"),
    optional(
        "requests.max_deadline",
        time(60_000, 1_000, 600_000),
        "\"60s\"",
    ),
    optional(
        "requests.max_body",
        Rule::Size {
            default: 8 * MIB,
            least: 1 << 10,
            most: 64 * MIB,
        },
        "\"8MiB\"",
    ),
    optional("requests.drain_settle", time(5_000, 0, 60_000), "\"5s\""),
    optional(
        "requests.drain_bound",
        Rule::Time {
            default: None,
            least: Duration::from_secs(1),
            most: Duration::from_secs(900),
        },
        "\"61s\"",
    ),
    optional("requests.max_connections", connections(4096), "4096"),
    optional(
        "requests.caller_stall",
        time(10_000, 1_000, 600_000),
        "\"10s\"",
    ),
    optional("requests.body_memory", memory(16 * MIB), "\"16MiB\""),
    optional("api", Rule::Section, "{ .. }"),
    optional("api.max_connections", connections(1024), "1024"),
    optional("api.caller_stall", time(20_000, 1_000, 600_000), "\"20s\""),
    optional("api.body_memory", memory(16 * MIB), "\"16MiB\""),
    optional("timing", Rule::Section, "{ .. }"),
    optional("timing.heartbeat", time(150, 20, 1_000), "\"150ms\""),
    optional(
        "timing.election_timeout",
        time(900, 100, 5_000),
        "\"900ms\"",
    ),
    optional(
        "timing.configuration_lease",
        // Notes are in force within 10 s, which includes one lease; it is renewed once a second.
        time(5_000, 2_000, 8_000),
        "\"5s\"",
    ),
    optional(
        "timing.worker_lease",
        // A worker counts as silent after three announcement intervals of 1 s.
        time(15_000, 3_000, 120_000),
        "\"15s\"",
    ),
    optional(
        "timing.share_lease",
        // A departing upstream receives no new work after 3 s; shares are renewed each 500 ms.
        time(3_000, 1_000, 3_000),
        "\"3s\"",
    ),
    optional("logs", Rule::Section, "{ .. }"),
    optional("logs.level", Rule::Level, "\"info\""),
    optional("logs.file", Rule::OptionalPath, "null"),
];

const fn required(path: &'static str, rule: Rule, example: &'static str) -> Key {
    Key {
        path,
        rule,
        required: true,
        example,
    }
}

const fn optional(path: &'static str, rule: Rule, example: &'static str) -> Key {
    Key {
        path,
        rule,
        required: false,
        example,
    }
}

const fn list(least: usize, most: usize) -> Rule {
    Rule::List { least, most }
}

const fn map(least: usize, most: usize) -> Rule {
    Rule::Map { least, most }
}

const fn time(default_ms: u64, least_ms: u64, most_ms: u64) -> Rule {
    Rule::Time {
        default: Some(Duration::from_millis(default_ms)),
        least: Duration::from_millis(least_ms),
        most: Duration::from_millis(most_ms),
    }
}

const fn connections(default: u64) -> Rule {
    Rule::Count {
        default,
        least: 8,
        most: 65_536,
    }
}

const fn memory(default: u64) -> Rule {
    Rule::Size {
        default,
        least: 2 * MIB,
        most: 1024 * MIB,
    }
}

/// The key at `path`.
pub fn find(path: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.path == path)
}

/// The key `name` of the section at `path`; the empty path is the whole file.
pub fn child(path: &str, name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| match path {
        "" => key.path == name,
        _ => {
            key.path
                .strip_prefix(path)
                .and_then(|rest| rest.strip_prefix('.'))
                == Some(name)
        }
    })
}
