//! The request rows of the target table: routers of all instances against stand-in upstreams on a virtual
//! clock, and two simple baselines from the same seeds.

mod measure;
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
