/// Objectives after which a result has no worth any more, as a multiple of the objective.
const WORTHLESS_AFTER: f64 = 3.0;

/// Core-seconds that may be thrown away for one urgent unit that no guarantee covers, and how many more for each
/// core-second that it takes itself. At the platform's prices twice as much would cost what the unit earns.
const LOSS_LIMIT_CORE_SECONDS: f64 = 300.0;
const LOSS_LIMIT_SHARE: f64 = 0.7;

/// Classes of work, best first.
///
/// Within the objective, the queue's priority decides. Late work of priority 0 still earns more for its
/// accelerators than anything else, being short; other late work comes after all that can be on time. Work without
/// any worth left takes what is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Covered by a guarantee of its account.
    Guaranteed,
    /// Priority 0, can end within its objective.
    Urgent,
    /// Priority 0, late.
    UrgentLate,
    /// Can end within its objective; with its priority.
    OnTime(u8),
    /// Late; with its priority.
    Late(u8),
    /// Beyond any worth.
    Worthless,
}

impl Rank {
    /// The class of work of a priority that is expected to end this many milliseconds after it was submitted,
    /// against an objective in milliseconds.
    pub fn new(priority: u8, expected_ms: f64, objective_ms: f64) -> Rank {
        let late = expected_ms > objective_ms;
        if expected_ms > objective_ms * WORTHLESS_AFTER {
            return Rank::Worthless;
        }
        match (priority, late) {
            (0, false) => Rank::Urgent,
            (0, true) => Rank::UrgentLate,
            (_, false) => Rank::OnTime(priority),
            (_, true) => Rank::Late(priority),
        }
    }

    /// How many core-seconds of other work may be thrown away for work of this class that is expected to take
    /// `work` of them; none if it displaces nothing.
    pub fn preemption_budget(self, work: f64) -> Option<f64> {
        match self {
            Rank::Guaranteed => Some(f64::INFINITY),
            Rank::Urgent => Some(LOSS_LIMIT_CORE_SECONDS + LOSS_LIMIT_SHARE * work),
            _ => None,
        }
    }
}
