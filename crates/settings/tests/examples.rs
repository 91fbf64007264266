//! The files under `examples/` and the reference in `docs/settings.md`.

use {
    model::{
        config::Config,
        note::Note,
        place::Site,
        shape::{Adjacency, Shape},
    },
    settings::{KEYS, Rule, Settings},
    std::{collections::BTreeSet, fs, path::PathBuf},
};

const DEPLOYMENTS: [(&str, [&str; 3]); 2] = [
    (
        "planning",
        [
            "vestland/bergen-a",
            "vestland/forde-b",
            "trondelag/trondheim-a",
        ],
    ),
    (
        "ringing",
        [
            "coast/coast-msasani",
            "coast/coast-rufiji",
            "lakes/lakes-mwanza",
        ],
    ),
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn deployment(name: &str) -> Vec<Settings> {
    let mut files: Vec<_> = fs::read_dir(root().join("examples").join(name))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| {
            !path
                .file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with("note-")
        })
        .collect();
    files.sort();
    files
        .iter()
        .map(|path| Settings::open(path).unwrap_or_else(|error| panic!("{error}")))
        .collect()
}

fn note(name: &str) -> Note {
    let path = root().join("examples").join(name).join("note-1.jsonc");
    let text = fs::read_to_string(path).unwrap();
    jsonc_parser::parse_to_serde_value(&text, &Default::default()).unwrap()
}

/// Guards against example files of one deployment that contradict each other.
#[test]
fn deployments_are_consistent() {
    for (name, sites) in DEPLOYMENTS {
        let all = deployment(name);
        assert_eq!(all.len(), 7, "{name}");
        let mut addresses = BTreeSet::new();
        for settings in &all {
            assert_eq!(settings.instances, all[0].instances);
            assert_eq!(settings.groups, all[0].groups);
            assert_eq!(settings.homes, all[0].homes);
            assert_eq!(settings.timing, all[0].timing);
            let member = settings.own_groups().next().is_some();
            assert_eq!(settings.data.is_some(), member);
            let listen = &settings.listen;
            addresses.extend([listen.api, listen.requests, listen.peers]);
        }
        assert_eq!(addresses.len(), 21, "{name}: an address is used twice");
        assert_eq!(
            all.iter()
                .filter(|settings| settings.data.is_some())
                .count(),
            3
        );
        let used: BTreeSet<_> = all[0]
            .instances
            .values()
            .map(|m| m.site.to_string())
            .collect();
        assert_eq!(used, sites.map(str::to_owned).into());
    }
}

/// Guards against an example note that is refused, does not fit the machines, or names accounts
/// whose job records could not be kept in the home group of their region.
#[test]
fn notes_are_accepted_and_fit_the_machines() {
    for (name, sites) in DEPLOYMENTS {
        let config = Config::default().apply(&note(name)).unwrap();
        assert_eq!(config.accounts.len(), 4);
        let settings = &deployment(name)[0];
        // Two racks of eight workers in each data centre; free accelerators by worker.
        let mut racks: Vec<(Site, [u16; 8])> = sites
            .iter()
            .flat_map(|site| {
                let (region, data_centre) = site.split_once('/').unwrap();
                let site = Site {
                    region: region.into(),
                    data_centre: data_centre.into(),
                };
                [(site.clone(), [8; 8]), (site, [8; 8])]
            })
            .collect();
        let mut gangs = Vec::new();
        for account in config.accounts.values() {
            for id in settings.groups.values().flatten() {
                let (_, member) = settings.member(*id).unwrap();
                assert!(model::place::permits(account, &member.site));
            }
            for guarantee in account.guarantees.values() {
                for _ in 0..guarantee.count {
                    gangs.push(guarantee);
                }
            }
        }
        gangs.sort_by_key(|gang| std::cmp::Reverse(gang.shape.total_accelerators()));
        for gang in gangs {
            let placed = racks
                .iter_mut()
                .filter(|(site, _)| gang.place.contains(site))
                .any(|(_, rack)| place(&gang.shape, rack));
            assert!(placed, "{name}: {gang:?} does not fit");
        }
    }
}

/// Places a gang in a rack, which is narrow enough for every adjacency but `worker`.
fn place(shape: &Shape, rack: &mut [u16; 8]) -> bool {
    let width = match shape.adjacency {
        Adjacency::Worker => 1,
        _ => 8,
    };
    rack.chunks_mut(width).any(|workers| {
        let mut free = workers.to_vec();
        let fits = (0..shape.tasks).all(|_| {
            let worker = free.iter_mut().find(|free| **free >= shape.accelerators);
            worker.map(|free| *free -= shape.accelerators).is_some()
        });
        if fits {
            workers.copy_from_slice(&free);
        }
        fits
    })
}

/// Guards against a key that the commented example or the reference does not describe with its
/// bounds and default.
#[test]
fn every_key_is_documented() {
    let example = fs::read_to_string(root().join("examples/settings.jsonc")).unwrap();
    Settings::parse("examples/settings.jsonc", &example).unwrap();
    // Comments may be broken over lines.
    let words = |text: &str| {
        let text = text.replace("//", " ");
        text.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    let example = words(&example);
    let reference = fs::read_to_string(root().join("docs/settings.md")).unwrap();
    for key in KEYS {
        let default = match (key.required, key.rule.default()) {
            (true, _) => "required".to_owned(),
            (false, Some(default)) => default,
            (false, None) => String::new(),
        };
        let row = format!("| `{}` | {} | {default}", key.path, key.rule);
        assert!(reference.contains(&row), "docs/settings.md needs `{row}`");
        if key.path.contains("[]") || key.path.ends_with('*') || matches!(key.rule, Rule::Section) {
            continue;
        }
        let quoted = format!("\"{}\":", key.name());
        assert!(
            example.contains(&quoted),
            "examples/settings.jsonc needs {quoted}"
        );
        let rule = key.rule.to_string();
        assert!(
            example.contains(&rule),
            "{}: examples/settings.jsonc needs `{rule}`",
            key.path
        );
        if let Some(default) = key.rule.default() {
            let default = format!("Default: {default}");
            assert!(
                example.contains(&default),
                "{}: needs `{default}`",
                key.path
            );
        }
    }
    for line in reference.lines().filter(|line| line.starts_with("| `")) {
        let path = line.split('`').nth(1).unwrap();
        assert!(KEYS.iter().any(|key| key.path == path), "{path} is no key");
    }
}
