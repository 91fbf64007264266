//! The request rows of the target table: routers of all instances against stand-in upstreams on a virtual
//! clock, and two simple baselines from the same seeds.

mod flow;
mod measure;
mod messages;
mod node;
mod options;
mod report;
mod upstream;
mod workload;
mod world;

pub use {
    options::{Options, Policy, Scenario},
    report::{Report, Row},
};

use measure::Measured;

/// Runs all scenarios, policies and seeds.
pub fn run(options: Options) -> Report {
    let mut report = Report::new(&options);
    for policy in options.policies.clone() {
        for seed in options.seeds.clone() {
            let crest = world::World::run(&options, Scenario::Crest, policy, seed);
            let alone = world::World::run(&options, Scenario::Short, policy, seed);
            let backlog = world::World::run(&options, Scenario::Backlog, policy, seed);
            let failures = world::World::run(&options, Scenario::Failures, policy, seed);
            report.add(
                policy,
                &Measured {
                    crest,
                    alone,
                    backlog,
                    failures,
                },
            );
        }
    }
    report
}

/// Bytes per second that each instance sends without demand, as JSON: gossip, and reports with grants.
pub fn traffic(upstreams: usize, instances: usize) -> (f64, f64) {
    let options = Options {
        upstreams,
        instances,
        ..Options::default()
    };
    let run = world::World::run(&options, Scenario::Idle, Policy::Current, 1);
    let scale = (run.end - workload::WARM) * instances as f64;
    (
        run.gossip_bytes as f64 / scale,
        run.share_bytes as f64 / scale,
    )
}
