use {
    super::{Event, Outcome, Snapshot, series::Series},
    indexmap::{IndexMap, IndexSet},
    model::{
        account::{Measure, Objective},
        clock::Clock,
        config::Config,
    },
    std::time::Instant,
};

/// Largest number of series. 77 accounts with 50 objectives each fit; at about 1.5 KB a series this
/// bounds the ledger at 6 MB.
const MAX_SERIES: usize = 4_096;

/// Distinct texts of reasons; indices fit a byte.
const MAX_REASONS: usize = 64;

/// Longest text of a reason, in characters.
const MAX_REASON_CHARS: usize = 64;

/// Index of the reason that stands for all that found no place.
const OTHER: u8 = 0;

/// Index of the reason of events that exceeded the bound.
const LATE: u8 = 1;

/// Counts events of one instance for the objectives of its configuration.
#[derive(Clone, Debug)]
pub struct Ledger {
    source: String,
    start: Instant,
    started_ms: u64,
    accounts: IndexMap<String, Vec<Series>>,
    series: usize,
    reasons: IndexSet<String>,
    dropped: u64,
}

impl Ledger {
    /// Returns an empty ledger of the instance `source` that counts from now on.
    pub fn new(source: impl Into<String>, clock: &dyn Clock) -> Ledger {
        Ledger {
            source: source.into(),
            start: clock.now(),
            started_ms: clock.wall_ms(),
            accounts: IndexMap::new(),
            series: 0,
            reasons: ["other", "late"].map(str::to_owned).into(),
            dropped: 0,
        }
    }

    /// Counts an event for each objective of its account, class and measure. Events without an
    /// objective are not counted.
    pub fn record(&mut self, config: &Config, event: &Event<'_>, now: Instant) {
        let Some(account) = config.accounts.get(event.account) else {
            return;
        };
        let at_ms = self.elapsed_ms(now);
        for (index, objective) in account.objectives.iter().enumerate() {
            let first = !account.objectives[..index].iter().any(|earlier| {
                earlier.class == objective.class
                    && earlier.measure == objective.measure
                    && earlier.within_ms == objective.within_ms
            });
            if first && objective.class == event.class && objective.measure == event.measure {
                self.count(config, event, objective, at_ms);
            }
        }
    }

    /// Removes the counters of accounts and objectives that are not in `config`.
    pub fn retain(&mut self, config: &Config) {
        self.accounts.retain(|name, list| {
            let objectives = config.accounts.get(name).map(|a| &a.objectives[..]);
            list.retain(|series| {
                objectives
                    .unwrap_or_default()
                    .iter()
                    .any(|objective| series.counts_for(objective))
            });
            !list.is_empty()
        });
        self.series = self.accounts.values().map(Vec::len).sum();
    }

    /// Returns the counts for a report.
    pub fn snapshot(&self, clock: &dyn Clock) -> Snapshot {
        let at_ms = self.elapsed_ms(clock.now());
        Snapshot {
            source: self.source.clone(),
            started_ms: self.started_ms,
            taken_ms: clock.wall_ms(),
            uptime_ms: at_ms,
            dropped: self.dropped,
            series: self
                .accounts
                .iter()
                .flat_map(|(name, list)| list.iter().map(move |series| (name, series)))
                .map(|(name, series)| series.counts(name, at_ms, &self.reasons))
                .collect(),
        }
    }

    fn count(&mut self, config: &Config, event: &Event<'_>, objective: &Objective, at_ms: u64) {
        let bad = match event.outcome {
            Outcome::Good => None,
            Outcome::Took(_) if event.measure == Measure::Admission => None,
            Outcome::Took(time) if time.as_millis() <= u128::from(objective.within_ms) => None,
            Outcome::Took(_) => Some(LATE),
            Outcome::Bad(text) => Some(self.reason(text)),
        };
        match (self.series(config, event.account, objective, at_ms), bad) {
            (Some(series), None) => series.good(at_ms),
            (Some(series), Some(reason)) => series.bad(at_ms, reason, OTHER),
            (None, _) => self.dropped = self.dropped.saturating_add(1),
        }
    }

    fn series(
        &mut self,
        config: &Config,
        account: &str,
        objective: &Objective,
        at_ms: u64,
    ) -> Option<&mut Series> {
        let held = self
            .accounts
            .get(account)
            .and_then(|list| list.iter().position(|series| series.counts_for(objective)));
        if let Some(index) = held {
            return self.accounts.get_mut(account)?.get_mut(index);
        }
        if self.series >= MAX_SERIES {
            self.retain(config);
        }
        if self.series >= MAX_SERIES {
            return None;
        }
        self.series += 1;
        let list = self.accounts.entry(account.to_owned()).or_default();
        list.push(Series::new(objective, at_ms));
        list.last_mut()
    }

    fn reason(&mut self, text: &str) -> u8 {
        if let Some(index) = self.reasons.get_index_of(text) {
            return index as u8;
        }
        let short: String = text.chars().take(MAX_REASON_CHARS).collect();
        if self.reasons.len() < MAX_REASONS || self.reasons.contains(&short) {
            self.reasons.insert_full(short).0 as u8
        } else {
            OTHER
        }
    }

    fn elapsed_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_millis() as u64
    }
}
