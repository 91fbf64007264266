//! Common parts of the fuzzers: seeds, a lossy network, and checks of a range of seeds.
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

/// Seeds of a run, from 0: as many as `ROUTE_FUZZ_SEEDS` says, or `default`.
pub fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("ROUTE_FUZZ_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    0..count.unwrap_or(default)
}

/// Runs a range of seeds; fails with the first seed that breaks a rule.
pub fn check(default: u64, run: impl Fn(u64) -> Result<(), String>) {
    inject(None);
    for seed in seeds(default) {
        if let Err(violation) = run(seed) {
            panic!("seed {seed}: {violation}");
        }
    }
}

/// Runs one seed; fails if it breaks a rule.
pub fn check_seed(seed: u64, run: impl Fn(u64) -> Result<(), String>) {
    inject(None);
    if let Err(violation) = run(seed) {
        panic!("seed {seed}: {violation}");
    }
}

/// Fails unless one of the first `max_seeds` seeds detects the fault; prints the first that does.
pub fn assert_found(fault: Fault, max_seeds: u64, run: impl Fn(u64) -> Result<(), String>) {
    inject(Some(fault));
    let found = (0..max_seeds).find_map(|seed| run(seed).err().map(|violation| (seed, violation)));
    inject(None);
    let (seed, violation) =
        found.unwrap_or_else(|| panic!("{fault:?} was not found in {max_seeds} seeds"));
    println!("{fault:?}: seed {seed}: {violation}");
}

/// A network that loses, delays, duplicates and reorders messages. `loss`, `duplicate` and `late` are
/// probabilities per message; a late message takes 0.2 s to 6 s, any other one up to 30 ms.
pub struct Network<M> {
    pub loss: f64,
    pub duplicate: f64,
    pub late: f64,
    in_transit: Vec<(Instant, M)>,
}

impl<M: Clone> Network<M> {
    pub fn new(rng: &mut StdRng) -> Network<M> {
        Network {
            loss: rng.random_range(0.0..0.3),
            duplicate: rng.random_range(0.0..0.2),
            late: rng.random_range(0.0..0.15),
            in_transit: Vec::new(),
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
            self.in_transit.push((now + ms(delay), message.clone()));
        }
    }

    pub fn take_arrived(&mut self, now: Instant) -> Vec<M> {
        let mut due = Vec::new();
        let mut index = 0;
        while index < self.in_transit.len() {
            if self.in_transit[index].0 <= now {
                due.push(self.in_transit.swap_remove(index));
            } else {
                index += 1;
            }
        }
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, message)| message).collect()
    }
}
