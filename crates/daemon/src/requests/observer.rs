use {
    super::Levels,
    crate::metrics::Register,
    entry::{Ended, Finished},
    model::request::Class,
    prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts},
    std::sync::Arc,
};

/// Bounds of the histograms in seconds.
const BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

/// Counts finished requests. Only accounts of the configuration become labels, so their number is bounded; all
/// other requests count under `unknown`.
pub struct Observer {
    requests: IntCounterVec,
    wait: HistogramVec,
    service: HistogramVec,
    bytes: IntCounterVec,
    cross_region: IntCounterVec,
    levels: Arc<Levels>,
}

impl Observer {
    /// Registers the metrics.
    pub fn new(
        register: &mut Register,
        levels: Arc<Levels>,
    ) -> Result<Observer, prometheus::Error> {
        let seconds = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            HistogramVec::new(opts, &["account", "class"])
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        Ok(Observer {
            requests: register.add(counter(
                "trefoilvalve_requests_total",
                "Finished requests by account, class and outcome.",
                &["account", "class", "outcome"],
            ))?,
            wait: register.add(seconds(
                "trefoilvalve_request_wait_seconds",
                "Time from the arrival of a request to its last send or its refusal.",
            ))?,
            service: register.add(seconds(
                "trefoilvalve_request_service_seconds",
                "Time from the last send of a request to the end of its answer.",
            ))?,
            bytes: register.add(counter(
                "trefoilvalve_request_bytes_total",
                "Body bytes of requests and answers.",
                &["account"],
            ))?,
            cross_region: register.add(counter(
                "trefoilvalve_request_cross_region_bytes_total",
                "Body bytes of requests and answers that crossed the link between regions.",
                &["account"],
            ))?,
            levels,
        })
    }
}

impl entry::Observer for Observer {
    fn finished(&self, record: Finished) {
        self.levels.finished(&record);
        // A caller may name any account, so only those of the configuration become labels.
        let known = self.levels.knows(&record.account);
        let account = if known { &record.account } else { "unknown" };
        let class = match record.class {
            Class::Short => "short",
            Class::Batch => "batch",
        };
        let outcome = match record.outcome {
            Ended::Answered => "answered",
            Ended::NotRun => "not-run",
            Ended::Unknown => "unknown",
            Ended::Broken => "broken",
            Ended::Abandoned => "abandoned",
        };
        self.requests
            .with_label_values(&[account, class, outcome])
            .inc();
        let pair = [account, class];
        self.wait
            .with_label_values(&pair)
            .observe(record.wait.as_secs_f64());
        if record.outcome == Ended::Answered {
            let service = record.service.as_secs_f64();
            self.service.with_label_values(&pair).observe(service);
        }
        self.bytes
            .with_label_values(&[account])
            .inc_by(record.bytes);
        let crossed = record.cross_region_bytes;
        self.cross_region
            .with_label_values(&[account])
            .inc_by(crossed);
    }
}
