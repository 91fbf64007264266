//! The job trial on a short span.

use {
    std::time::Duration,
    trial::jobs::{Options, run},
};

/// Guards against a trial that differs from run to run, and against broken rules in it.
#[test]
fn same_seeds_give_the_same_report_without_broken_rules() {
    let options = Options {
        seeds: vec![1, 2],
        arrivals: Duration::from_secs(1200),
        sweeps: 60,
        ..Options::default()
    };
    let report = run(&options);
    assert_eq!(report, run(&options));
    assert_eq!(report.faults, Vec::<String>::new());
    let broken =
        |row: &&trial::jobs::Row| row.scheduler == "gang" && row.measure == "broken promises";
    let rows: Vec<_> = report.rows.iter().filter(broken).collect();
    assert_eq!(rows[0].values, [0.0, 0.0]);
}
