/// Multiple of the objective after which a result has no value any more.
const WORTHLESS_AFTER: f64 = 3.0;

/// Core-seconds of other work that may be lost for one urgent unit without a guarantee: a constant, plus a share of the
/// work of the unit itself. At the platform's prices, twice as much would cost what the unit earns.
const LOSS_LIMIT_CORE_SECONDS: f64 = 300.0;
const LOSS_LIMIT_SHARE: f64 = 0.7;

/// Rank of ready work, highest first.
///
/// Work that can meet its objective is ranked by the queue's priority. Late work of priority 0 is short and still earns
/// more for its accelerators than anything else; other late work comes after all work that can be on time. Work without
/// any value uses idle resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Covered by the guarantee of its account.
    Guaranteed,
    /// Priority 0; can meet its objective.
    Urgent,
    /// Priority 0; will miss its objective.
    UrgentLate,
    /// The given priority of 1 or more; can meet its objective.
    OnTime(u8),
    /// The given priority of 1 or more; will miss its objective.
    Late(u8),
    /// Will end so late that its result has no value.
    Worthless,
}

impl Rank {
    /// Rank of work of a priority that is expected to end `expected_ms` after its due time, with an objective of
    /// `objective_ms`.
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

    /// Maximum loss of other work in core-seconds for work of this rank, which is expected to take `work` core-seconds
    /// itself; none if it preempts nothing.
    pub fn preemption_budget(self, work: f64) -> Option<f64> {
        match self {
            Rank::Guaranteed => Some(f64::INFINITY),
            Rank::Urgent => Some(LOSS_LIMIT_CORE_SECONDS + LOSS_LIMIT_SHARE * work),
            _ => None,
        }
    }
}
