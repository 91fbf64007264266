use {
    super::{
        options::Options,
        site::{ACCOUNTS, guaranteed, shape},
    },
    model::{
        job::{Class, Spec},
        shape::{Adjacency, Shape},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// What a job stands for in the measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A fit check of less than a minute.
    Short,
    /// A gang of the usual kind.
    Standard,
    /// A gang of the guaranteed shape, at most one at a time for an account.
    Claim,
    /// Long work that may wait.
    Sweep,
}

/// A job and what only the driver knows of it.
#[derive(Clone, Debug)]
pub struct Work {
    /// Arrival.
    pub at_ms: u64,
    /// What it stands for.
    pub kind: Kind,
    /// What is submitted.
    pub spec: Spec,
    /// Its true run time.
    pub run_ms: u64,
}

/// Accelerators of the deployment.
const TOTAL: f64 = 384.0;

/// Mean accelerator seconds of one standard gang as drawn below, from 1,000,000 draws.
const STANDARD_SECONDS: f64 = 9_560.0;

/// Draws the jobs of one seed. Short, standard and guaranteed work is the same with and without
/// sweeps.
pub fn draw(seed: u64, options: &Options, sweeps: bool) -> Vec<Work> {
    let end = options.arrivals.as_millis() as u64;
    let mut works = Vec::new();
    shorts(&mut StdRng::seed_from_u64(seed), end, &mut works);
    standards(
        &mut StdRng::seed_from_u64(seed ^ 1 << 32),
        end,
        options.load,
        &mut works,
    );
    claims(&mut StdRng::seed_from_u64(seed ^ 2 << 32), end, &mut works);
    if sweeps {
        backlog(
            &mut StdRng::seed_from_u64(seed ^ 3 << 32),
            end,
            options.sweeps,
            &mut works,
        );
    }
    works.sort_by_key(|work| work.at_ms);
    works
}

/// A Poisson stream of fit checks with bursts of 30 to 60 within two seconds.
fn shorts(rng: &mut StdRng, end: u64, works: &mut Vec<Work>) {
    let mut at = 0;
    let mut burst = gap(rng, 900.0);
    while at < end {
        at += gap(rng, 6.0);
        if at > burst {
            let account = account(rng);
            for _ in 0..rng.random_range(30..60) {
                let at_ms = burst + rng.random_range(0..2000);
                works.push(short(rng, account, at_ms));
            }
            burst += gap(rng, 900.0);
        }
        let account = account(rng);
        works.push(short(rng, account, at));
    }
}

fn short(rng: &mut StdRng, account: &str, at_ms: u64) -> Work {
    let tasks = rng.random_range(1..3);
    let run = rng.random_range(5.0..45.0);
    work(
        rng,
        account,
        Kind::Short,
        Class::Urgent,
        shape(tasks, 1, Adjacency::Worker),
        at_ms,
        run,
    )
}

/// Gangs of 1 to 64 accelerators; run times are lognormal with a median of ten minutes, and three in
/// a hundred run ten to thirty times longer.
fn standards(rng: &mut StdRng, end: u64, load: f64, works: &mut Vec<Work>) {
    let mean = STANDARD_SECONDS / (load * TOTAL);
    let mut at = 0;
    let mut burst = gap(rng, 2400.0);
    while at < end {
        at += gap(rng, mean * 1.25);
        if at > burst {
            // A burst brings as many gangs as usually come in eight minutes.
            let account = account(rng);
            for _ in 0..(480.0 / mean) as u32 {
                let at_ms = burst + rng.random_range(0..10_000);
                works.push(standard(rng, account, at_ms));
            }
            burst += gap(rng, 2400.0);
        }
        let account = account(rng);
        works.push(standard(rng, account, at));
    }
}

fn standard(rng: &mut StdRng, account: &str, at_ms: u64) -> Work {
    let sizes: [(u32, u16, u16, Adjacency); 8] = [
        (25, 1, 1, Adjacency::Worker),
        (20, 1, 2, Adjacency::Worker),
        (18, 1, 4, Adjacency::Worker),
        (12, 2, 4, Adjacency::Rack),
        (10, 1, 8, Adjacency::Worker),
        (8, 2, 8, Adjacency::Rack),
        (5, 4, 8, Adjacency::Rack),
        (2, 8, 8, Adjacency::DataCentre),
    ];
    let mut pick = rng.random_range(0..100);
    let mut size = sizes[0];
    for candidate in sizes {
        if pick < candidate.0 {
            size = candidate;
            break;
        }
        pick -= candidate.0;
    }
    let mut run = (600.0 * normal(rng).exp()).clamp(30.0, 7200.0);
    if rng.random_bool(0.03) {
        run *= rng.random_range(10.0..30.0);
    }
    let shape = shape(size.1, size.2, size.3);
    work(
        rng,
        account,
        Kind::Standard,
        Class::Standard,
        shape,
        at_ms,
        run.min(6.0 * 3600.0),
    )
}

/// Each account claims its guaranteed gang, at most one at a time by the declared pauses.
fn claims(rng: &mut StdRng, end: u64, works: &mut Vec<Work>) {
    for (account, _) in ACCOUNTS {
        let mut at = gap(rng, 1200.0);
        while at < end {
            let run = rng.random_range(120.0..900.0);
            let shape: Shape = guaranteed(account);
            works.push(work(
                rng,
                account,
                Kind::Claim,
                Class::Urgent,
                shape,
                at,
                run,
            ));
            at += (run * 1000.0) as u64 + 120_000 + gap(rng, 1200.0);
        }
    }
}

/// Sweeps of 1 to 4 accelerators, most of them at the beginning.
fn backlog(rng: &mut StdRng, end: u64, count: usize, works: &mut Vec<Work>) {
    for index in 0..count * 2 {
        let at = if index < count {
            rng.random_range(0..60_000)
        } else {
            rng.random_range(0..end)
        };
        let account = account(rng);
        let accelerators = [1, 1, 2, 4][rng.random_range(0..4)];
        let run = (1500.0 * (0.5 * normal(rng)).exp()).clamp(300.0, 7200.0);
        let shape = shape(1, accelerators, Adjacency::Worker);
        works.push(work(
            rng,
            account,
            Kind::Sweep,
            Class::Sweep,
            shape,
            at,
            run,
        ));
    }
}

fn work(
    rng: &mut StdRng,
    account: &str,
    kind: Kind,
    class: Class,
    shape: Shape,
    at_ms: u64,
    run: f64,
) -> Work {
    // Declared run times are wrong by a factor of e^1.5 on average, both ways.
    let declared = run * (1.5 * normal(rng)).exp();
    let east = account == "south" && kind != Kind::Claim && rng.random_bool(0.4);
    Work {
        at_ms,
        kind,
        spec: Spec {
            account: account.into(),
            key: String::new(),
            class,
            shape,
            place: if east { "east".parse().ok() } else { None },
            repeatable: kind != Kind::Claim,
            max_attempts: 5,
            declared_seconds: Some(declared.max(1.0) as u64),
            payload: String::new(),
        },
        run_ms: (run * 1000.0) as u64,
    }
}

fn account(rng: &mut StdRng) -> &'static str {
    let mut pick = rng.random_range(0..100);
    for (name, share) in ACCOUNTS {
        if pick < share {
            return name;
        }
        pick -= share;
    }
    ACCOUNTS[0].0
}

/// An exponential gap with a mean in seconds, in milliseconds.
fn gap(rng: &mut StdRng, mean: f64) -> u64 {
    (-(1.0 - rng.random::<f64>()).ln() * mean * 1000.0) as u64
}

/// A draw from the normal distribution, by the method of Box and Muller.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
