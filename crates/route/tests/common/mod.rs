//! What the fuzzers share: seeds, a lossy network, and the verdict on a range of seeds.
#![allow(dead_code)]

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    route::faults::{Fault, inject},
    std::time::{Duration, Instant},
};

pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Seeds of a run: a fixed short range, or as many as `ROUTE_FUZZ_SEEDS` says.
pub fn seeds(short: u64) -> std::ops::Range<u64> {
    let count = std::env::var("ROUTE_FUZZ_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    0..count.unwrap_or(short)
}

/// Fails with the seed and the first broken rule.
pub fn check(short: u64, run: impl Fn(u64) -> Result<(), String>) {
    inject(None);
    for seed in seeds(short) {
        if let Err(rule) = run(seed) {
            panic!("seed {seed}: {rule}");
        }
    }
}

/// Fails with the first broken rule of one seed.
pub fn check_seed(seed: u64, run: impl Fn(u64) -> Result<(), String>) {
    inject(None);
    if let Err(rule) = run(seed) {
        panic!("seed {seed}: {rule}");
    }
}

/// Fails unless the injected fault is found within `most` seeds; prints the first seed that finds it.
pub fn finds(fault: Fault, most: u64, run: impl Fn(u64) -> Result<(), String>) {
    inject(Some(fault));
    let found = (0..most).find_map(|seed| run(seed).err().map(|rule| (seed, rule)));
    inject(None);
    let (seed, rule) = found.unwrap_or_else(|| panic!("{fault:?} was not found in {most} seeds"));
    println!("{fault:?}: seed {seed}: {rule}");
}

/// Messages under way, with loss, delay, duplication and reordering.
pub struct Network<M> {
    pub loss: f64,
    pub duplicate: f64,
    pub late: f64,
    under_way: Vec<(Instant, M)>,
}

impl<M: Clone> Network<M> {
    pub fn new(rng: &mut StdRng) -> Network<M> {
        Network {
            loss: rng.random_range(0.0..0.3),
            duplicate: rng.random_range(0.0..0.2),
            late: rng.random_range(0.0..0.15),
            under_way: Vec::new(),
        }
    }

    pub fn send(&mut self, rng: &mut StdRng, message: M, now: Instant) {
        let copies = if rng.random_bool(self.duplicate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if rng.random_bool(self.loss) {
                continue;
            }
            let delay = if rng.random_bool(self.late) {
                rng.random_range(200..6000)
            } else {
                rng.random_range(1..30)
            };
            self.under_way.push((now + ms(delay), message.clone()));
        }
    }

    pub fn arrived(&mut self, now: Instant) -> Vec<M> {
        let mut due = Vec::new();
        let mut index = 0;
        while index < self.under_way.len() {
            if self.under_way[index].0 <= now {
                due.push(self.under_way.swap_remove(index));
            } else {
                index += 1;
            }
        }
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, message)| message).collect()
    }
}
