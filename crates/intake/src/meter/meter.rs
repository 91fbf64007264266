use {
    super::{Reason, Throttle},
    prometheus::{IntCounterVec, IntGauge, Opts, core::Collector},
    std::{
        sync::{Mutex, PoisonError},
        time::Instant,
    },
};

/// Counts limited clients and logs them, at most one line a second for each reason.
pub struct Meter {
    limited: IntCounterVec,
    pub(crate) connections: IntGauge,
    pub(crate) body_bytes: IntGauge,
    throttle: Mutex<Throttle>,
}

impl Meter {
    /// A meter with all counters at zero.
    pub fn new() -> Result<Meter, prometheus::Error> {
        let limited = IntCounterVec::new(
            Opts::new(
                "trefoilvalve_clients_limited_total",
                "Requests refused and connections closed at a limit, by reason.",
            ),
            &["reason"],
        )?;
        for reason in Reason::ALL {
            limited.with_label_values(&[&reason.to_string()]);
        }
        Ok(Meter {
            limited,
            connections: IntGauge::new(
                "trefoilvalve_client_connections",
                "Open connections of clients.",
            )?,
            body_bytes: IntGauge::new(
                "trefoilvalve_client_body_bytes",
                "Memory reserved for request bodies, in bytes.",
            )?,
            throttle: Mutex::new(Throttle::default()),
        })
    }

    /// The metrics, to be registered.
    pub fn collectors(&self) -> [Box<dyn Collector>; 3] {
        [
            Box::new(self.limited.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.body_bytes.clone()),
        ]
    }

    /// Counts a limited client.
    pub fn note(&self, reason: Reason) {
        self.limited.with_label_values(&[&reason.to_string()]).inc();
        let mut throttle = self.throttle.lock().unwrap_or_else(PoisonError::into_inner);
        let due = throttle.note(reason, Instant::now());
        drop(throttle);
        if let Some(count) = due {
            log::warn!(
                "event=clients_limited reason={reason} count={count} connections={} body_bytes={}",
                self.connections.get(),
                self.body_bytes.get()
            );
        }
    }
}
