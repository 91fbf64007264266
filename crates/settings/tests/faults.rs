//! Every kind of fault, with its line and what would be right.

use {
    proptest::prelude::*,
    settings::{Error, Fault, Settings},
};

const GOOD: &str = r#"{
  "instance": { "name": "a1", "id": 1, "region": "north", "data_centre": "north-a" },
  "listen": { "api": "127.0.0.1:7101", "requests": "127.0.0.1:7201", "peers": "127.0.0.1:7301" },
  "instances": [
    { "name": "a1", "id": 1, "region": "north", "data_centre": "north-a", "peers": "127.0.0.1:7301" },
    { "name": "a2", "id": 2, "region": "north", "data_centre": "north-b", "peers": "127.0.0.1:7302" },
    { "name": "a3", "id": 3, "region": "south", "data_centre": "south-a", "peers": "127.0.0.1:7303" }
  ],
  "groups": { "config": [1, 2, 3], "north": [1] },
  "homes": { "north": "north", "south": "config" },
  "data": { "folder": "data/a1" },
  "requests": { "max_deadline": "60s", "max_body": "8MiB" },
  "timing": { "heartbeat": "150ms", "election_timeout": "900ms" },
  "logs": { "level": "info", "file": null }
}"#;

fn faults(text: &str) -> Vec<Fault> {
    match Settings::parse("a1.jsonc", text) {
        Err(Error::Invalid { faults, .. }) => faults,
        Err(error) => panic!("{error}"),
        Ok(_) => Vec::new(),
    }
}

/// Replacement in `GOOD`, and line, problem and remedy of the only fault that it causes.
const CASES: &str = r#"
"max_body" => "max_bdy" | 12 | unknown key `requests.max_bdy` | did you mean `max_body`?
"logs": { => "log": { | 14 | unknown key `log` | did you mean `logs`?
"logs": { => "heartbeat": "1s", "logs": { | 14 | unknown key `heartbeat` | belongs into `timing`
"level" => "colour": 1, "level" | 14 | unknown key `logs.colour` | known here are level, file
"name": "a1", "id": 1, => "name": "a1", | 2 | `instance.id` is missing | add `"id": 1`
"peers": "127.0.0.1:7302" => "weight": 1, "peers": "127.0.0.1:7302" | 6 | unknown key `instances[1].weight` | known here are name
"folder": "data/a1" => | 11 | `data.folder` is missing | add `"folder": "data/a1"`
"level": "info" => "level": "info", "level": "warn" | 14 | `level` is given twice | keep one
"name": "a1" => "name": 7 | 2 | `instance.name` is a number | use a text
"60s" => 60 | 12 | `requests.max_deadline` is a number | for example "60s"
"60s" => "60" | 12 | `requests.max_deadline` is "60" | from 1s to 10m
"60s" => "60 parsecs" | 12 | is "60 parsecs" | from 1s to 10m
"60s" => "11m" | 12 | `requests.max_deadline` is "11m" | from 1s to 10m
"8MiB" => "8" | 12 | `requests.max_body` is "8" | from 1KiB to 64MiB
"8MiB" => "1GiB" | 12 | `requests.max_body` is "1GiB" | from 1KiB to 64MiB
"info" => "loud" | 14 | `logs.level` is "loud" | error, warn, info
null => "" | 14 | `logs.file` is "" | a path of 1 to
"data/a1" => null | 11 | `data.folder` is null | a path of 1 to
127.0.0.1:7101 => localhost:7101 | 3 | `listen.api` is "localhost:7101" | an IP address and a port
127.0.0.1:7101 => 127.0.0.1:0 | 3 | `listen.api` is "127.0.0.1:0" | port from 1 to 65535
"id": 3 => "id": 0 | 7 | `instances[2].id` is 0 | from 1 to 65535
"id": 3 => "id": 1.5 | 7 | `instances[2].id` is 1.5 | a whole number
"north-b" => "North B" | 6 | `instances[1].data_centre` is "North B" | characters of a-z
"north": [1] => "north": [1], "North": [1] | 9 | `North` in `groups` is not a name | characters of a-z
"north": [1] => "north": 1 | 9 | `groups.north` is a number | use a list
{ "folder": "data/a1" } => "data/a1" | 11 | `data` is a text | use an object
"a3" => "a2" | 7 | two instances have the name a2 | its own name
{ "name": "a2" => { "name": "a0", "id": 1, "region": "north", "data_centre": "north-a", "peers": "127.0.0.1:7300" }, { "name": "a2" | 6 | two instances have the id 1 | its own id
127.0.0.1:7303 => 127.0.0.1:7302 | 7 | two instances have the address 127.0.0.1:7302 | its own address
127.0.0.1:7201 => 127.0.0.1:7101 | 3 | `listen.requests` and `listen.api` are both | its own port
"name": "a1" => "name": "a9" | 2 | instance `a9` is not in `instances` | add it
"id": 1 => "id": 3 | 2 | `id` is 3 here and 1 in the entry `a1` | the same
"north-a" => "north-c" | 2 | `data_centre` is north-c here and north-a | the same
"127.0.0.1:7301" => "127.0.0.1:7399" | 3 | `peers` is 127.0.0.1:7399 here and 127.0.0.1:7301 | the same
"config": [1, 2, 3], => "south": [1], | 9 | no group `config` | add `"config"
"north": [1] => "north": [1, 2] | 9 | group `north` has 2 members | odd number
"north": [1] => "north": [] | 9 | `groups.north` has 0 elements | use 1 to 7
"north": [1] => "north": [1, 2, 2] | 9 | names instance 2 twice | once
"north": [1] => "north": [4] | 9 | names instance 4, which is unknown | 1, 2, 3
"south": "config" => "south": "west" | 10 | group `west`, which is unknown | config, north
"south": "config" => "south": "config", "west": "north" | 10 | region `west`, which has no instance | north, south
"homes": { "north": "north", => "homes": { | 10 | region `north` has no home | add `"north"
"data": { "folder": "data/a1" }, => | 2 | a member of group `config` and has no data folder | add `"data"
"max_body" => "drain_bound": "30s", "max_body" | 12 | shorter than `requests.max_deadline` | at least as long
"900ms" => "400ms" | 13 | shorter than three times `timing.heartbeat` | heartbeat shorter
"logs" => logs | 14 | not JSON with comments | correct it
"#;

/// Guards against a fault that is not reported, is reported on another line, causes others, or
/// does not say what would be right.
#[test]
fn every_fault_is_reported_alone_on_its_line() {
    assert_eq!(faults(GOOD), []);
    for case in CASES.trim().lines() {
        let parts: Vec<_> = case.split(" | ").collect();
        let [change, line, problem, remedy] = parts[..] else {
            panic!("{case}");
        };
        let (from, to) = change.split_once(" =>").unwrap();
        assert!(GOOD.contains(from), "`{from}` is not in the text");
        let found = faults(&GOOD.replacen(from, to.trim(), 1));
        assert_eq!(found.len(), 1, "{case}: {found:#?}");
        let fault = &found[0];
        assert_eq!(fault.line.to_string(), line, "{case}: {fault}");
        assert!(fault.problem.contains(problem), "{case}: {fault}");
        assert!(fault.remedy.contains(remedy), "{case}: {fault}");
    }
}

/// Guards against a report that stops at the first fault.
#[test]
fn all_faults_are_reported_at_once_by_line() {
    let text = GOOD
        .replace("\"8MiB\"", "8")
        .replace("\"north\": [1]", "\"north\": [7]")
        .replace("\"level\"", "\"levle\"")
        .replace("127.0.0.1:7303", "7303");
    let error = Settings::parse("a1.jsonc", &text).unwrap_err().to_string();
    let lines: Vec<_> = error.lines().collect();
    let starts = [
        "a1.jsonc:7: ",
        "a1.jsonc:9: ",
        "a1.jsonc:12: ",
        "a1.jsonc:14: ",
    ];
    assert_eq!(lines.len(), starts.len(), "{error}");
    for (line, start) in lines.iter().zip(starts) {
        assert!(line.starts_with(start), "{error}");
    }
}

/// Guards against a file that is empty, no object, missing or too large.
#[test]
fn files_without_settings_are_refused() {
    assert!(
        faults("// nothing")[0]
            .remedy
            .contains("examples/settings.jsonc")
    );
    assert!(faults("[]")[0].problem.contains("the file is a list"));
    let missing: Vec<_> = faults("{}")
        .into_iter()
        .map(|fault| fault.problem)
        .collect();
    assert_eq!(
        missing,
        ["instance", "listen", "instances", "groups", "homes"]
            .map(|key| format!("`{key}` is missing"))
    );
    let place = tempfile::tempdir().unwrap();
    let path = place.path().join("a1.jsonc");
    assert!(matches!(Settings::open(&path), Err(Error::Read { .. })));
    std::fs::write(&path, " ".repeat(300 << 10)).unwrap();
    assert!(matches!(Settings::open(&path), Err(Error::Read { .. })));
    std::fs::write(&path, GOOD).unwrap();
    assert_eq!(Settings::open(&path).unwrap().instance.id, 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on any text, and a fault outside the file.
    #[test]
    fn mutated_files_are_read_or_refused(
        cuts in prop::collection::vec((any::<prop::sample::Index>(), 0..60_usize, "\\PC{0,12}"), 1..4),
    ) {
        let mut text: Vec<char> = GOOD.chars().collect();
        for (index, len, insert) in &cuts {
            let at = index.index(text.len());
            let end = text.len().min(at + len);
            text.splice(at..end, insert.chars());
            text.push('\n');
        }
        let text: String = text.into_iter().collect();
        let lines = 1 + text.matches('\n').count();
        for fault in faults(&text) {
            prop_assert!((1..=lines).contains(&fault.line), "{}", fault);
        }
    }
}
