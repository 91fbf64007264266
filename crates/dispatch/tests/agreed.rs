//! The agreed time of day.

use {
    dispatch::time::Agreed,
    std::time::{Duration, Instant},
};

/// Guards against due times that follow a clock that has jumped on one of five instances.
#[test]
fn a_minority_of_jumping_clocks_changes_nothing() {
    let start = Instant::now();
    let mut agreed = Agreed::new(start);
    for instance in 0..5 {
        agreed.observe(instance, 1_000_000, start);
    }
    let later = start + Duration::from_secs(1);
    agreed.observe(0, 1_003_400, later);
    agreed.observe(1, 998_600, later);
    for instance in 2..5 {
        agreed.observe(instance, 1_001_000, later);
    }
    assert_eq!(agreed.now_ms(later), 1_001_000);
}

/// Guards against early starts while only two instances can be asked: the earlier clock counts.
#[test]
fn of_two_clocks_the_earlier_counts() {
    let start = Instant::now();
    let mut agreed = Agreed::new(start);
    assert_eq!(agreed.now_ms(start), 0);
    agreed.observe(0, 5000, start);
    agreed.observe(1, 7000, start);
    assert_eq!(agreed.now_ms(start), 5000);
}
