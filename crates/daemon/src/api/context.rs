use {
    super::Members,
    crate::metrics::Metrics,
    control::instance::Instance,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// What the endpoints work on.
pub struct Context {
    /// The instance.
    pub instance: Arc<Instance>,
    /// The upstreams heard of.
    pub members: Arc<dyn Members>,
    /// The metrics.
    pub metrics: Metrics,
    /// Whether the instance is being shut down.
    pub draining: AtomicBool,
}

impl Context {
    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
            && !self.instance.is_drained()
            && self.instance.current().is_some()
    }
}
