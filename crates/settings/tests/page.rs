//! The example of the design page.

use {
    settings::{Level, Settings},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

const PAGE: &str = r#"{
  "instance": { "name": "a1", "id": 1, "region": "vestland", "data_centre": "bergen-a" },
  "listen": { "api": "127.0.0.1:7101", "requests": "127.0.0.1:7201", "peers": "127.0.0.1:7301" },
  // All instances of the deployment, this one included.
  "instances": [
    { "name": "a1", "id": 1, "region": "vestland", "data_centre": "bergen-a", "peers": "127.0.0.1:7301" },
    { "name": "a2", "id": 2, "region": "vestland", "data_centre": "bergen-a", "peers": "127.0.0.1:7302" },
    { "name": "a3", "id": 3, "region": "trondelag", "data_centre": "trondheim-a", "peers": "127.0.0.1:7303" }
  ],
  // Groups of control instances by name; "config" must exist.
  "groups": { "config": [1, 2, 3], "vestland": [1, 2, 3] },
  // The group that keeps the jobs and claims of each region.
  "homes": { "vestland": "vestland", "trondelag": "vestland" },
  "data": { "folder": "data/a1" },            // only on control instances
  "requests": { "max_deadline": "60s", "max_body": "8MiB", "drain_settle": "5s" },
  "logs": { "level": "info", "file": null }   // null: standard error
}"#;

/// Guards against a key of the page that is not read, or is read into the wrong value.
#[test]
fn example_of_the_page_is_read() {
    let settings = Settings::parse("a1.jsonc", PAGE).unwrap();
    assert_eq!(settings.instance.name, "a1");
    assert_eq!(settings.instance.id, 1);
    assert_eq!(settings.instance.site.to_string(), "vestland/bergen-a");
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(settings.listen.api, address(7101));
    assert_eq!(settings.listen.requests, address(7201));
    assert_eq!(settings.listen.peers, address(7301));
    let names: Vec<_> = settings.instances.keys().collect();
    assert_eq!(names, ["a1", "a2", "a3"]);
    let (name, member) = settings.member(3).unwrap();
    assert_eq!((name, member.peers), ("a3", address(7303)));
    assert_eq!(member.site.to_string(), "trondelag/trondheim-a");
    assert_eq!(settings.groups["config"], [1, 2, 3]);
    assert_eq!(settings.homes["trondelag"], "vestland");
    assert_eq!(
        settings.own_groups().collect::<Vec<_>>(),
        ["config", "vestland"]
    );
    assert_eq!(settings.data.unwrap().folder, PathBuf::from("data/a1"));
    assert_eq!(settings.requests.max_deadline, Duration::from_secs(60));
    assert_eq!(settings.requests.max_body, 8 << 20);
    assert_eq!(settings.requests.drain_settle, Duration::from_secs(5));
    assert_eq!(settings.logs.level, Level::Info);
    assert_eq!(settings.logs.file, None);
}

/// Guards against a default that differs from the page, and a key that is needed but has one.
#[test]
fn only_keys_without_default_are_needed() {
    let full = Settings::parse("a1.jsonc", PAGE).unwrap();
    let short = PAGE
        .lines()
        .filter(|line| !line.contains("max_deadline") && !line.contains("level"))
        .collect::<Vec<_>>()
        .join("\n");
    let settings = Settings::parse("a1.jsonc", &short).unwrap();
    assert_eq!(settings, full);
    assert_eq!(settings.requests.drain_bound, Duration::from_secs(61));
    let timing = settings.timing;
    assert_eq!(timing.heartbeat, Duration::from_millis(150));
    assert_eq!(timing.election_timeout, Duration::from_millis(900));
    assert_eq!(timing.election_timeout_max(), Duration::from_millis(1800));
    assert_eq!(timing.configuration_lease, Duration::from_secs(5));
    assert_eq!(timing.worker_lease, Duration::from_secs(15));
    assert_eq!(timing.share_lease, Duration::from_secs(3));
}
