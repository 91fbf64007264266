use {
    plan::engine::Effort,
    std::time::{Duration, Instant},
};

/// Interval between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Times and sizes of the engine's steps since the latest log line.
#[derive(Debug, Default)]
pub(super) struct StepTimes {
    since: Option<Instant>,
    steps: u64,
    events: usize,
    busy: Duration,
    longest_step: Duration,
    longest_round: Duration,
    oldest_event: Duration,
    longest_proposal: Duration,
    effort: Effort,
}

impl StepTimes {
    /// Records a step; `event_age` is the time that its oldest event had waited.
    pub fn record_step(
        &mut self,
        took: Duration,
        event_age: Duration,
        events: usize,
        effort: Effort,
    ) {
        self.steps += 1;
        self.events += events;
        self.busy += took;
        self.longest_step = self.longest_step.max(took);
        if effort.rounds > 0 {
            self.longest_round = self.longest_round.max(took);
        }
        self.oldest_event = self.oldest_event.max(event_age);
        self.effort += effort;
    }

    /// Records the time from a proposal to its outcome.
    pub fn record_proposal(&mut self, took: Duration) {
        self.longest_proposal = self.longest_proposal.max(took);
    }

    /// Logs the times at a fixed interval and begins anew.
    pub fn report(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        if now < since + REPORT_INTERVAL {
            return;
        }
        let interval = now.saturating_duration_since(since);
        log::info!(
            "event=leader_steps interval_ms={} steps={} events={} busy_ms={} longest_step_ms={} longest_round_ms={} oldest_event_ms={} longest_proposal_ms={} rounds={} synced={} checked={} planned={}",
            interval.as_millis(),
            self.steps,
            self.events,
            self.busy.as_millis(),
            self.longest_step.as_millis(),
            self.longest_round.as_millis(),
            self.oldest_event.as_millis(),
            self.longest_proposal.as_millis(),
            self.effort.rounds,
            self.effort.synced,
            self.effort.checked,
            self.effort.planned
        );
        *self = StepTimes {
            since: Some(now),
            ..StepTimes::default()
        };
    }
}
