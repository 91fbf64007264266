use {
    super::{Register, gauges::Gauges},
    control::instance::Instance,
    entry::Desk,
    prometheus::{
        Encoder, Error, IntCounterVec, Opts, TextEncoder, process_collector::ProcessCollector,
    },
    std::sync::{Arc, Mutex, PoisonError},
};

/// All metrics of an instance.
pub struct Metrics {
    register: Register,
    gauges: Gauges,
    announcements: IntCounterVec,
    desk: Arc<Desk>,
    /// Held while values are read, so that two readers do not raise a counter twice.
    reading: Mutex<()>,
}

impl Metrics {
    /// Registers the metrics of the instance beside those in `register`.
    pub fn new(mut register: Register, desk: Arc<Desk>) -> Result<Metrics, Error> {
        register.add_boxed(Box::new(ProcessCollector::for_self()))?;
        register.add(build::CURRENT.metric())?;
        let gauges = Gauges::new(&mut register)?;
        let announcements = register.add(IntCounterVec::new(
            Opts::new(
                "trefoilvalve_announcements_total",
                "Announcements of workers and upstreams received over HTTP.",
            ),
            &["kind", "outcome"],
        ))?;
        Ok(Metrics {
            register,
            gauges,
            announcements,
            desk,
            reading: Mutex::new(()),
        })
    }

    /// Counts an announcement of a `worker` or `upstream`.
    pub fn announced(&self, kind: &str, accepted: bool) {
        let outcome = if accepted { "accepted" } else { "refused" };
        self.announcements.with_label_values(&[kind, outcome]).inc();
    }

    /// Names of all metrics.
    pub fn names(&self) -> &[String] {
        self.register.names()
    }

    /// The metrics in the Prometheus text format.
    pub fn text(&self, instance: &Instance, ready: bool) -> Result<Vec<u8>, Error> {
        let _reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        self.gauges.refresh(instance, &self.desk, ready);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.register.registry().gather(), &mut text)?;
        Ok(text)
    }
}
