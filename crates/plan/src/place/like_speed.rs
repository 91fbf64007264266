use {
    super::{Availability, Host},
    crate::order::Unit,
};

/// Width of a class of like speeds, as a difference of logarithms. Differences below it do not decide over a place.
const CLASS_WIDTH: f64 = 0.25;

/// Factor for the expected duration of urgent work when it is compared with the time that is left: the start takes its
/// part of it.
const URGENT_MARGIN: f64 = 1.1;

/// The same factor for other work, which may have to start again after a failure.
const OTHER_MARGIN: f64 = 1.5;

/// Steps of the cost of a gang on upstreams of unlike speed, as a share of the cost on upstreams of like speed.
const COST_STEP: f64 = 0.25;

/// Class of the speed of an upstream; 0 is nominal, and faster ones are higher.
pub(super) fn class(host: &Host<'_>) -> i32 {
    match host.speed == 1.0 {
        true => 0,
        false => (host.speed.ln() / CLASS_WIDTH).round() as i32,
    }
}

/// Speeds at the middle of the classes that reports tell apart. The outer ones include what is slower or faster still.
pub const SPEED_CLASSES: [&str; 5] = ["0.6", "0.8", "1.0", "1.3", "1.6"];

/// Index of the class of an upstream in [`SPEED_CLASSES`].
pub fn speed_class(host: &Host<'_>) -> usize {
    let nominal = SPEED_CLASSES.len() as i32 / 2;
    (class(host).clamp(-nominal, nominal) + nominal) as usize
}

/// Whether an upstream is slower than the nominal ones. Never in a fleet of like speeds.
pub fn is_slow(host: &Host<'_>) -> bool {
    class(host) < 0
}

/// Whether the unit is expected to end too late for its objective on this upstream.
pub fn is_late(unit: &Unit<'_>, host: &Host<'_>) -> bool {
    order(unit, class(host)).0
}

/// Sort key of a class for a unit, best first. Where the unit is in time comes first. Of such places, urgent work takes
/// the fastest, because it has little slack, and other work leaves these free. The same for all upstreams of a fleet of
/// like speeds.
pub(super) fn order(unit: &Unit<'_>, class: i32) -> (bool, i32) {
    let margin = match unit.priority {
        0 => URGENT_MARGIN,
        _ => OTHER_MARGIN,
    };
    let is_late = unit.expected_ms * margin / speed_of(class) > unit.left_ms;
    let prefers_fast = unit.priority == 0 || is_late;
    (is_late, if prefers_fast { -class } else { class })
}

/// Upstreams of like speed on which a gang runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Window {
    /// Class of the slowest upstream, which decides when the gang ends.
    pub slowest: i32,
    /// Sort key, best first.
    pub order: (bool, i32, i32),
}

/// Chooses the speeds at which a gang runs on some of the given upstreams; none if its tasks do not fit. They are
/// filled from the slowest on, so that no faster ones wait for it than needed.
pub(super) fn window(
    unit: &Unit<'_>,
    hosts: &[Host<'_>],
    members: &[usize],
    availability: Availability,
) -> Option<Window> {
    let needed = unit.tasks.len();
    let mut slots: Vec<(i32, usize)> = Vec::new();
    for position in members {
        let host = &hosts[*position];
        let (class, fitting) = (class(host), host.slots(unit, availability).min(needed));
        if fitting == 0 {
            continue;
        }
        match slots.iter_mut().find(|(other, _)| *other == class) {
            Some((_, total)) => *total += fitting,
            None => slots.push((class, fitting)),
        }
    }
    slots.sort_unstable();
    let windows = (0..slots.len()).filter_map(|from| {
        let (slowest, _) = slots[from];
        let mut missing = needed;
        let mut cost = 0.0;
        for (class, fitting) in &slots[from..] {
            let used = missing.min(*fitting);
            missing -= used;
            cost += used as f64 * speed_of(*class) / speed_of(slowest);
        }
        let (is_late, preference) = order(unit, slowest);
        let waste = ((cost / needed.max(1) as f64 - 1.0) / COST_STEP).round() as i32;
        let order = match unit.priority == 0 || is_late {
            true => (is_late, preference, waste),
            false => (is_late, waste, preference),
        };
        (missing == 0).then_some(Window { slowest, order })
    });
    windows.min_by_key(|window| window.order)
}

fn speed_of(class: i32) -> f64 {
    (f64::from(class) * CLASS_WIDTH).exp()
}
