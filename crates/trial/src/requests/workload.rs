use {
    super::{Options, Scenario},
    model::{place::Site, request::Class},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Time before measurements begin: the first leader waits one lease, then shares settle.
pub(super) const WARM: f64 = 8.0;

/// Time before the crest during which the earlier level of waits is measured.
pub(super) const BEFORE: f64 = 10.0;

/// Time after the crest, or after the start of the measurement in other scenarios.
pub(super) const AFTER: f64 = 20.0;

/// Mean service time of short work in seconds; log-normal with this standard deviation of the logarithm.
pub(super) const SHORT_MEAN: f64 = 0.1;
const SHORT_SIGMA: f64 = 1.0;

/// Batch work: Pareto with this least time in seconds and exponent, cut at the given time.
const BATCH_LEAST: f64 = 0.8;
const BATCH_SHAPE: f64 = 1.6;
const BATCH_MOST: f64 = 30.0;

/// Deadlines of both classes, in seconds.
const SHORT_DEADLINE: f64 = 2.0;
const BATCH_DEADLINE: f64 = 60.0;

/// Part of the work that is batch in mixed demand.
const BATCH_PART: f64 = 0.3;

/// Part of the callers that reach an instance in a region permitted to their account.
const LOCAL_PART: f64 = 0.9;

/// Part of the requests that must not run twice.
const CLAIMED_PART: f64 = 0.1;

/// Accounts with their part of the demand, weight and permitted regions.
pub(super) const ACCOUNTS: [(&str, f64, u32, &[&str]); 4] = [
    ("a", 0.40, 2, &["north", "south"]),
    ("b", 0.25, 1, &["north"]),
    ("c", 0.20, 1, &["north", "south"]),
    ("d", 0.15, 1, &["south"]),
];

/// A request as its caller sends it.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: f64,
    pub(super) account: usize,
    pub(super) class: Class,
    pub(super) service: f64,
    pub(super) deadline: f64,
    pub(super) node: usize,
    pub(super) idempotent: bool,
}

/// Three data centres in two regions; the second region has the last one.
pub(super) fn site(index: usize) -> Site {
    let (region, data_centre) = [("north", "a"), ("north", "b"), ("south", "c")][index % 3];
    Site {
        region: region.into(),
        data_centre: data_centre.into(),
    }
}

/// End of a scenario in seconds.
pub(super) fn end(options: &Options, scenario: Scenario) -> f64 {
    match scenario {
        Scenario::Crest => WARM + BEFORE + options.crest_time.as_secs_f64() + AFTER,
        _ => WARM + AFTER + 10.0,
    }
}

/// Demand at a time, in multiples of capacity: short and batch.
fn demand(options: &Options, scenario: Scenario, at: f64, bursts: &[(f64, f64)]) -> (f64, f64) {
    let mixed = |total: f64| (total * (1.0 - BATCH_PART), total * BATCH_PART);
    match scenario {
        Scenario::Crest => {
            let start = WARM + BEFORE;
            let crest = at >= start && at < start + options.crest_time.as_secs_f64();
            mixed(if crest { options.crest } else { options.base })
        }
        Scenario::Failures => mixed(0.9),
        Scenario::Idle => (0.0, 0.0),
        Scenario::Short | Scenario::Backlog => {
            let burst = bursts.iter().any(|(from, to)| (*from..*to).contains(&at));
            (if burst { 0.45 } else { 0.15 }, 0.0)
        }
    }
}

/// All requests of a scenario, in order of time; the same for each policy.
pub(super) fn arrivals(options: &Options, scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = options.upstreams as f64 * f64::from(options.slots);
    let end = end(options, scenario);
    let mut bursts = Vec::new();
    let mut at = 0.0;
    while at < end {
        at += exponential(&mut rng, 3.0);
        bursts.push((at, at + 0.5));
        at += 0.5;
    }
    let batch_mean = batch_mean();
    let mut arrivals = Vec::new();
    let step = 0.01;
    let mut now = 0.0;
    while now < end {
        let (short, batch) = demand(options, scenario, now, &bursts);
        for (load, mean, class) in [
            (short, SHORT_MEAN, Class::Short),
            (batch, batch_mean, Class::Batch),
        ] {
            let expected = load * capacity / mean * step;
            for _ in 0..poisson(&mut rng, expected) {
                let at = now + rng.random_range(0.0..step);
                arrivals.push(arrival(&mut rng, options, class, at));
            }
        }
        now += step;
    }
    if scenario == Scenario::Backlog {
        // A backlog that no policy can finish, and that keeps coming.
        let work = capacity * end * 1.5;
        for _ in 0..(work / batch_mean) as usize {
            let at = WARM * 0.5 + rng.random_range(0.0..end);
            let mut batch = arrival(&mut rng, options, Class::Batch, at);
            batch.deadline = at + BATCH_DEADLINE;
            arrivals.push(batch);
        }
        arrivals.retain(|arrival| arrival.at < end);
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    arrivals
}

fn arrival(rng: &mut StdRng, options: &Options, class: Class, at: f64) -> Arrival {
    let mut pick = rng.random_range(0.0..1.0);
    let mut account = 0;
    for (index, (_, part, _, _)) in ACCOUNTS.iter().enumerate() {
        account = index;
        pick -= part;
        if pick < 0.0 {
            break;
        }
    }
    let regions = ACCOUNTS[account].3;
    let region = regions[rng.random_range(0..regions.len())];
    let local = rng.random_bool(LOCAL_PART);
    let nodes: Vec<usize> = (0..options.instances)
        .filter(|node| !local || site(*node).region == region)
        .collect();
    let node = nodes[rng.random_range(0..nodes.len())];
    let service = match class {
        Class::Short => {
            let normal = normal(rng);
            let median = SHORT_MEAN / (SHORT_SIGMA * SHORT_SIGMA / 2.0).exp();
            median * (SHORT_SIGMA * normal).exp()
        }
        Class::Batch => {
            let uniform: f64 = rng.random_range(1e-9..1.0);
            (BATCH_LEAST * uniform.powf(-1.0 / BATCH_SHAPE)).min(BATCH_MOST)
        }
    };
    let allowed = match class {
        Class::Short => SHORT_DEADLINE,
        Class::Batch => BATCH_DEADLINE,
    };
    let idempotent = !rng.random_bool(CLAIMED_PART);
    Arrival {
        at,
        account,
        class,
        service,
        deadline: at + allowed,
        node,
        idempotent,
    }
}

fn batch_mean() -> f64 {
    let (least, shape, most) = (BATCH_LEAST, BATCH_SHAPE, BATCH_MOST);
    let tail = (least / most).powf(shape);
    shape / (shape - 1.0) * least * (1.0 - (least / most).powf(shape - 1.0)) + most * tail
}

/// The 99th percentile of the service time of short work.
pub(super) fn short_p99() -> Duration {
    let median = SHORT_MEAN / (SHORT_SIGMA * SHORT_SIGMA / 2.0).exp();
    Duration::from_secs_f64(median * (2.326 * SHORT_SIGMA).exp())
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * rng.random_range(1e-12..1.0f64).ln()
}

fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(1e-12..1.0f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}

fn poisson(rng: &mut StdRng, mean: f64) -> usize {
    if mean > 200.0 {
        return (mean + mean.sqrt() * normal(rng)).max(0.0) as usize;
    }
    let limit = (-mean).exp();
    let mut product = rng.random_range(0.0..1.0f64);
    let mut count = 0;
    while product > limit {
        product *= rng.random_range(0.0..1.0f64);
        count += 1;
    }
    count
}
