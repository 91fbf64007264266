use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Period of the error budget.
pub(crate) const PERIOD_MS: u64 = 30 * DAY_MS;

/// The usual pairs of a long window and a short one of a twelfth. The thresholds spend 2% of a 30-day
/// budget in 1 h, 5% in 6 h and 10% in 3 d. The short window ends the alert soon after the cause ends.
pub(crate) const PAIRS: [(u64, u64, f64, Severity); 3] = [
    (5 * MINUTE_MS, HOUR_MS, 14.4, Severity::Page),
    (30 * MINUTE_MS, 6 * HOUR_MS, 6.0, Severity::Page),
    (6 * HOUR_MS, 3 * DAY_MS, 1.0, Severity::Ticket),
];

/// How soon somebody should act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// At once.
    Page,
    /// Within days.
    Ticket,
}

/// Events of the most recent time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Window {
    /// Length in milliseconds; the newest, incomplete bucket is counted in addition.
    pub window_ms: u64,
    /// Good events.
    pub good: u64,
    /// Bad events.
    pub bad: u64,
    /// Burn rate: share of bad events divided by the share that the target allows. Absent without
    /// events.
    pub rate: Option<f64>,
    /// Whether counting began after the start of the window.
    pub partial: bool,
}

/// A short and a long window that raise an alert together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Burn {
    /// Severity of the alert.
    pub severity: Severity,
    /// Burn rate that both windows must reach.
    pub threshold: f64,
    /// The short window.
    pub short: Window,
    /// The long window.
    pub long: Window,
    /// Whether both windows reach the threshold.
    pub alert: bool,
}

impl Burn {
    pub(crate) fn new(short: Window, long: Window, threshold: f64, severity: Severity) -> Burn {
        let reached = |window: &Window| window.rate.is_some_and(|rate| rate >= threshold);
        Burn {
            alert: reached(&short) && reached(&long),
            severity,
            threshold,
            short,
            long,
        }
    }
}
