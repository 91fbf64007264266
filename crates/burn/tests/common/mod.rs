//! Helpers of the tests.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    burn::{Event, Ledger, Outcome},
    model::{
        account::{Account, Measure, Objective},
        clock::{Clock, Manual},
        config::Config,
    },
    std::time::Duration,
};

pub const MINUTE: Duration = Duration::from_secs(60);
pub const HOUR: Duration = Duration::from_secs(3_600);

/// A configuration in which account `reed` has one objective for answers of short requests.
pub fn config(target: f64) -> Config {
    config_with(vec![objective(100, target)])
}

pub fn config_with(objectives: Vec<Objective>) -> Config {
    let mut config = Config {
        number: 7,
        ..Config::default()
    };
    config.accounts.insert(
        "reed".into(),
        Account {
            places: vec!["vestland".parse().unwrap()],
            weight: 1,
            quota: None,
            guarantees: Default::default(),
            objectives,
        },
    );
    config
}

pub fn objective(within_ms: u64, target: f64) -> Objective {
    Objective {
        class: "short".into(),
        measure: Measure::Answer,
        within_ms,
        target,
    }
}

pub fn answer<'a>(outcome: Outcome<'a>) -> Event<'a> {
    Event {
        account: "reed",
        class: "short",
        measure: Measure::Answer,
        outcome,
    }
}

/// Records `good` and `bad` events at the present time of `clock`.
pub fn record(ledger: &mut Ledger, config: &Config, clock: &Manual, good: u32, bad: u32) {
    for _ in 0..good {
        ledger.record(config, &answer(Outcome::Good), clock.now());
    }
    for _ in 0..bad {
        ledger.record(config, &answer(Outcome::Bad("queue-full")), clock.now());
    }
}
