//! The median time of day of the instances.

use {
    dispatch::time::MedianClock,
    std::time::{Duration, Instant},
};

/// Guards against due times that follow the clocks that have jumped on a minority of the instances.
#[test]
fn a_minority_of_jumping_clocks_changes_nothing() {
    let start = Instant::now();
    let mut median_clock = MedianClock::new(start);
    for instance in 0..5 {
        median_clock.observe(instance, 1_000_000, start);
    }
    let later = start + Duration::from_secs(1);
    median_clock.observe(0, 1_003_400, later);
    median_clock.observe(1, 998_600, later);
    for instance in 2..5 {
        median_clock.observe(instance, 1_001_000, later);
    }
    assert_eq!(median_clock.now_ms(later), 1_001_000);
}

/// Guards against early starts while only two instances can be reached: the earlier clock must be used.
#[test]
fn the_earlier_of_two_clocks_is_used() {
    let start = Instant::now();
    let mut median_clock = MedianClock::new(start);
    assert_eq!(median_clock.now_ms(start), 0);
    median_clock.observe(0, 5000, start);
    median_clock.observe(1, 7000, start);
    assert_eq!(median_clock.now_ms(start), 5000);
}
