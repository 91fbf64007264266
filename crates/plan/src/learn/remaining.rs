use std::time::Duration;

/// Progress in percent below which the speed of a run is not reliable.
const MIN_PERCENT: u8 = 10;

/// Remaining time of a run that has reached `percent` after `worked`. Derived from its own speed, or from the expected
/// duration of the whole task if it has just begun or resumed from a checkpoint.
pub fn remaining(expected: Duration, worked: Duration, percent: u8, resumed: bool) -> Duration {
    let left = f64::from(100 - percent.min(100));
    match percent >= MIN_PERCENT && !resumed {
        true => worked.mul_f64(left / f64::from(percent)),
        false => expected.mul_f64(left / 100.0),
    }
}
