//! A short run of the request trial.

use {
    std::time::Duration,
    trial::requests::{Options, Policy, run},
};

fn options() -> Options {
    Options {
        seeds: 1..2,
        policies: vec![Policy::Current],
        upstreams: 6,
        slots: 4,
        instances: 4,
        crest_time: Duration::from_secs(4),
        ..Options::default()
    }
}

/// Guards against a promise that breaks in a trial, and against figures that differ between runs of one
/// seed.
#[test]
fn keeps_promises_and_repeats() {
    let first = run(options());
    let broken = first.rows.iter().find(|row| row.name == "broken promises");
    assert_eq!(
        broken.map(|row| row.values.clone()),
        Some(vec![0.0]),
        "{:?}",
        first.broken
    );
    assert_eq!(first.to_string(), run(options()).to_string());
}
