use std::time::{Duration, Instant};

/// Failures in a row after which an upstream is paused.
const FAILURES_BEFORE_PAUSE: u32 = 3;

/// First pause; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Bound on the doubled pauses.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// An upstream is slow when its mean logarithm of service time exceeds that of its service by this much:
/// a factor of 3.
const SLOW_LOG_RATIO: f64 = 1.1;

/// Weight of one sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Answers between two changes of the limit, so that each change shows in the measurement first.
const SAMPLES_PER_CHANGE: u32 = 16;

/// Concurrency limit of an upstream, adapted to its failures and latency.
#[derive(Clone, Debug)]
pub struct Concurrency {
    limit: u16,
    /// Failures in a row since the last answer or pause.
    failures: u32,
    /// Pauses since the last answer.
    pauses: u32,
    paused_until: Option<Instant>,
    /// Running mean of the natural logarithm of the service time in seconds.
    log_mean: f64,
    samples: u32,
}

impl Concurrency {
    /// Returns a limit of `slots` requests.
    pub fn new(slots: u16) -> Concurrency {
        Concurrency {
            limit: slots,
            failures: 0,
            pauses: 0,
            paused_until: None,
            log_mean: 0.0,
            samples: 0,
        }
    }

    /// Requests allowed at once, at most `slots`; 0 during a pause.
    pub fn limit(&self, slots: u16, now: Instant) -> u16 {
        if self.paused_until.is_some_and(|until| now < until) {
            0
        } else if self.pauses > 0 {
            // After a pause, one request probes the upstream.
            1.min(slots)
        } else {
            self.limit.min(slots)
        }
    }

    /// Records the service time of an answer. `usual_log` is the mean natural logarithm of the service time in
    /// seconds over all upstreams of the service.
    pub fn answered(&mut self, service_time: Duration, usual_log: f64, slots: u16) {
        self.failures = 0;
        self.pauses = 0;
        self.paused_until = None;
        let sample = service_time.as_secs_f64().max(1e-6).ln();
        let weight = if self.samples == 0 {
            1.0
        } else {
            SAMPLE_WEIGHT
        };
        self.log_mean += weight * (sample - self.log_mean);
        self.samples += 1;
        if !self.samples.is_multiple_of(SAMPLES_PER_CHANGE) {
            return;
        }
        if self.log_mean > usual_log + SLOW_LOG_RATIO {
            self.limit = (self.limit / 2).max(1);
        } else if self.limit < slots {
            self.limit += 1;
        }
    }

    /// Records a failure; several in a row, or one after a pause, pause the upstream.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_PAUSE || self.pauses > 0 {
            let pause = FIRST_PAUSE * 2u32.pow(self.pauses.min(4));
            self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
            self.pauses += 1;
            self.failures = 0;
        }
    }
}
