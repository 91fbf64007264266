use {
    super::Slot,
    burn::{Event, Ledger, Outcome, Snapshot},
    entry::{Ended, Finished},
    model::{
        account::Measure,
        clock::Clock,
        job::{Class, Job, State},
        request,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Counts jobs and requests of this instance for the report on service levels.
pub struct Levels {
    ledger: Mutex<Ledger>,
    slot: Slot,
    clock: Arc<dyn Clock>,
}

impl Levels {
    /// Returns counters of the instance `name` that count from now on.
    pub fn new(name: &str, slot: Slot, clock: Arc<dyn Clock>) -> Levels {
        Levels {
            ledger: Mutex::new(Ledger::new(name, &*clock)),
            slot,
            clock,
        }
    }

    /// Tells whether the configuration has a client account.
    pub fn knows(&self, account: &str) -> bool {
        let config = self.slot.get().and_then(|instance| instance.applied());
        config.is_some_and(|config| config.accounts.contains_key(account))
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The counts so far.
    pub fn snapshot(&self) -> Snapshot {
        self.ledger().snapshot(&*self.clock)
    }

    /// Counts a finished request.
    ///
    /// Not counted are requests that the caller left or that were refused for a fault of their own, and
    /// repeated first answers: none of these says how well the account is served.
    pub fn finished(&self, record: &Finished) {
        let reason = refusal(record.status);
        let (answer, admission) = match record.outcome {
            Ended::Answered => (Outcome::Took(record.wait + record.service), Outcome::Good),
            Ended::Unknown if record.status == 409 => return,
            Ended::Unknown => (Outcome::Bad("unknown"), Outcome::Good),
            Ended::Broken => (Outcome::Bad("broken"), Outcome::Good),
            Ended::NotRun => match reason {
                Some(reason) => (Outcome::Bad(reason), Outcome::Bad(reason)),
                None => return,
            },
            Ended::Abandoned => return,
        };
        let class = match record.class {
            request::Class::Short => "short",
            request::Class::Batch => "batch",
        };
        self.record(&record.account, class, Measure::Answer, answer);
        self.record(&record.account, class, Measure::Admission, admission);
    }

    fn job(&self, job: &Job, measure: Measure, outcome: Outcome<'_>) {
        let class = match job.spec.class {
            Class::Urgent => "urgent",
            Class::Standard => "standard",
            Class::Sweep => "sweep",
        };
        self.record(&job.spec.account, class, measure, outcome);
    }

    fn record(&self, account: &str, class: &str, measure: Measure, outcome: Outcome<'_>) {
        // Refusals while the configuration is not known to be current count, too.
        let Some(config) = self.slot.get().and_then(|instance| instance.applied()) else {
            return;
        };
        let event = Event {
            account,
            class,
            measure,
            outcome,
        };
        let now = self.clock.now();
        self.ledger().record(&config, &event, now);
    }
}

/// The reason of a refusal that is no fault of the caller.
fn refusal(status: u16) -> Option<&'static str> {
    match status {
        429 => Some("queue-full"),
        502 => Some("upstream"),
        503 => Some("unavailable"),
        504 => Some("deadline"),
        500.. => Some("internal"),
        _ => None,
    }
}

fn took(job: &Job) -> Outcome<'static> {
    Outcome::Took(Duration::from_millis(
        job.changed_ms.saturating_sub(job.submitted_ms),
    ))
}

impl control::jobs::Observer for Levels {
    fn started(&self, job: &Job) {
        self.job(job, Measure::JobStart, took(job));
    }

    /// Cancelled jobs are not counted, since their caller decided their end.
    fn ended(&self, job: &Job, started: bool) {
        let reason = match job.state {
            State::Done => None,
            State::Failed => Some("failed"),
            State::Unknown => Some("unknown"),
            _ => return,
        };
        if !started && reason.is_some() {
            self.job(job, Measure::JobStart, Outcome::Bad("never-started"));
        }
        let outcome = reason.map_or_else(|| took(job), Outcome::Bad);
        self.job(job, Measure::JobCompletion, outcome);
    }
}
