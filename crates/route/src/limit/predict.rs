use std::time::Duration;

/// Input to the prediction of a request's wait: the queue that it would join.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// Estimated number of waiting requests that are served before it.
    pub ahead: f64,
    /// Slots that serve its class.
    pub slots: f64,
    /// Mean service time.
    pub mean: Duration,
    /// Service time that the request itself is expected to need.
    pub own_service: Duration,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It should meet its deadline.
    Admit,
    /// It would not; the queue is short enough again after this time.
    Refuse(Duration),
}

/// Least and greatest time after which the client of a refused request is told to try again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(60));

impl Forecast {
    /// The predicted wait, at most one hour.
    pub fn wait(&self) -> Duration {
        if self.ahead <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = self.ahead * self.mean.as_secs_f64() / self.slots.max(0.25);
        Duration::from_secs_f64(seconds.min(3600.0))
    }
}

/// Decides by the predicted wait whether the answer can arrive within `budget`. A request that need not wait is
/// admitted unless `budget` is zero, even if it is expected to run longer.
pub fn decide(forecast: Forecast, budget: Duration) -> Decision {
    let wait = forecast.wait();
    if wait + forecast.own_service <= budget || (wait.is_zero() && !budget.is_zero()) {
        return Decision::Admit;
    }
    let drain = wait.saturating_sub(budget.saturating_sub(forecast.own_service));
    Decision::Refuse(drain.clamp(RETRY_AFTER.0, RETRY_AFTER.1))
}
