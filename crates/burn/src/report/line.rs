use {
    super::window::{Burn, PAIRS, PERIOD_MS, Severity, Window},
    crate::ledger::{Counts, Reason, TIERS, tier_of},
    model::account::{Measure, Objective},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Reasons shown for one objective.
const TOP_REASONS: usize = 5;

/// The state of an objective in one word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// No event was counted.
    NoEvents,
    /// No alert, and budget is left.
    Ok,
    /// The budget burns fast enough for a ticket.
    Ticket,
    /// The budget burns fast enough to call somebody.
    Page,
    /// The budget of the period is used up.
    Exhausted,
}

/// The error budget over a period of 30 days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Budget {
    /// Length of the period in milliseconds.
    pub period_ms: u64,
    /// Part of the period for which events were counted; the mean over instances by their events.
    pub counted_ms: u64,
    /// Share of the budget that is left; negative when more was spent than allowed. The time before
    /// counting began is taken as having spent nothing. Absent without events.
    pub left: Option<f64>,
    /// Time until nothing is left at the higher of the burn rates over 1 h and 6 h; 0 if nothing is
    /// left now. Absent if nothing burns.
    pub exhausted_in_ms: Option<u64>,
}

/// Events of one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Point {
    /// Age of the end of the bucket in buckets; 0 is the newest, incomplete one.
    pub age: u16,
    /// Good events.
    pub good: u64,
    /// Bad events.
    pub bad: u64,
}

/// One objective of one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Line {
    /// Client account.
    pub account: String,
    /// Job class or request class.
    pub class: String,
    /// The measured quantity.
    pub measure: Measure,
    /// Bound in milliseconds.
    pub within_ms: u64,
    /// Fraction of events that must be good.
    pub target: f64,
    /// State in one word.
    pub status: Status,
    /// Since when the earliest instance counts, in milliseconds since the Unix epoch.
    pub since_ms: Option<u64>,
    /// Good events of the period.
    pub good: u64,
    /// Bad events of the period.
    pub bad: u64,
    /// Fraction of good events. Absent without events.
    pub attained: Option<f64>,
    /// The error budget.
    pub budget: Budget,
    /// Burn rates over pairs of windows.
    pub burns: Vec<Burn>,
    /// Most frequent reasons first.
    pub reasons: Vec<Reason>,
    /// Events in buckets of 10 minutes, newest first, for up to 6 h.
    pub recent: Vec<Point>,
    /// Events in buckets of 2 hours, newest first, for up to 3 d.
    pub longer: Vec<Point>,
}

impl Line {
    pub(crate) fn new(
        account: &str,
        objective: &Objective,
        counts: &[&Counts],
        now_ms: u64,
    ) -> Line {
        let window = |length_ms| window(counts, length_ms, objective.target);
        let burns: Vec<Burn> = PAIRS
            .iter()
            .map(|&(short, long, threshold, severity)| {
                Burn::new(window(short), window(long), threshold, severity)
            })
            .collect();
        let period = window(PERIOD_MS);
        let total = period.good + period.bad;
        let budget = budget(counts, &period, &burns);
        Line {
            account: account.to_owned(),
            class: objective.class.clone(),
            measure: objective.measure,
            within_ms: objective.within_ms,
            target: objective.target,
            status: status(total, &budget, &burns),
            since_ms: counts
                .iter()
                .map(|counts| now_ms.saturating_sub(counts.age_ms))
                .min(),
            good: period.good,
            bad: period.bad,
            attained: (total > 0).then(|| period.good as f64 / total as f64),
            budget,
            burns,
            reasons: reasons(counts),
            recent: points(counts, 1),
            longer: points(counts, 2),
        }
    }

    /// Returns the number of events of the period.
    pub fn events(&self) -> u64 {
        self.good.saturating_add(self.bad)
    }
}

/// Returns the `(age, good, bad)` cells of one tier that are inside the ring. Snapshots may come from
/// another process, so nothing is assumed of them.
fn cells(counts: &Counts, tier: usize) -> impl Iterator<Item = (u16, u32, u32)> {
    let ring = TIERS[tier].1;
    counts
        .tiers
        .get(tier)
        .into_iter()
        .flat_map(move |cells| cells.iter().copied().take(ring))
        .filter(move |&(age, _, _)| usize::from(age) < ring)
}

fn window(counts: &[&Counts], window_ms: u64, target: f64) -> Window {
    let tier = tier_of(window_ms);
    let oldest = window_ms / TIERS[tier].0;
    let (mut good, mut bad) = (0u64, 0u64);
    for counts in counts {
        for (age, g, b) in cells(counts, tier) {
            if u64::from(age) <= oldest {
                good += u64::from(g);
                bad += u64::from(b);
            }
        }
    }
    let total = good + bad;
    let allowed = 1.0 - target;
    Window {
        window_ms,
        good,
        bad,
        rate: (total > 0 && allowed > 0.0).then(|| bad as f64 / total as f64 / allowed),
        partial: counts.iter().any(|counts| counts.age_ms < window_ms),
    }
}

fn budget(counts: &[&Counts], period: &Window, burns: &[Burn]) -> Budget {
    let (mut events, mut weighted) = (0.0, 0.0);
    for counts in counts {
        let total: u64 = cells(counts, TIERS.len() - 1)
            .map(|(_, good, bad)| u64::from(good) + u64::from(bad))
            .sum();
        events += total as f64;
        weighted += total as f64 * counts.age_ms.min(PERIOD_MS) as f64;
    }
    let counted_ms = if events > 0.0 {
        (weighted / events) as u64
    } else {
        counts.iter().map(|c| c.age_ms).max().unwrap_or(0)
    };
    let counted_ms = counted_ms.min(PERIOD_MS);
    let left = period
        .rate
        .map(|rate| 1.0 - rate * counted_ms as f64 / PERIOD_MS as f64);
    let rate = burns
        .iter()
        .filter(|burn| burn.severity == Severity::Page)
        .filter_map(|burn| burn.long.rate)
        .fold(0.0, f64::max);
    let exhausted_in_ms = match left {
        Some(left) if left <= 0.0 => Some(0),
        Some(left) if rate > 0.0 => Some((left * PERIOD_MS as f64 / rate) as u64),
        _ => None,
    };
    Budget {
        period_ms: PERIOD_MS,
        counted_ms,
        left,
        exhausted_in_ms,
    }
}

fn status(total: u64, budget: &Budget, burns: &[Burn]) -> Status {
    let alert = |severity| burns.iter().any(|b| b.alert && b.severity == severity);
    if total == 0 {
        Status::NoEvents
    } else if budget.left.is_some_and(|left| left <= 0.0) {
        Status::Exhausted
    } else if alert(Severity::Page) {
        Status::Page
    } else if alert(Severity::Ticket) {
        Status::Ticket
    } else {
        Status::Ok
    }
}

fn reasons(counts: &[&Counts]) -> Vec<Reason> {
    let mut merged: Vec<Reason> = Vec::new();
    for reason in counts.iter().flat_map(|counts| &counts.reasons) {
        match merged.iter_mut().find(|held| held.text == reason.text) {
            Some(held) => held.count = held.count.saturating_add(reason.count),
            None => merged.push(reason.clone()),
        }
    }
    merged.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.text.cmp(&b.text)));
    merged.truncate(TOP_REASONS);
    merged
}

fn points(counts: &[&Counts], tier: usize) -> Vec<Point> {
    let mut sums = vec![(0u64, 0u64); TIERS[tier].1];
    for counts in counts {
        for (age, good, bad) in cells(counts, tier) {
            let sum = &mut sums[usize::from(age)];
            sum.0 += u64::from(good);
            sum.1 += u64::from(bad);
        }
    }
    sums.into_iter()
        .enumerate()
        .filter(|(_, (good, bad))| good + bad > 0)
        .map(|(age, (good, bad))| Point {
            age: age as u16,
            good,
            bad,
        })
        .collect()
}
