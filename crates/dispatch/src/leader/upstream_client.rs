use {
    futures::future::BoxFuture,
    plan::engine::{Failure, Hold, Listing, Start, Stop, Target},
    std::sync::Arc,
    work::id,
};

/// Tells whether an order may still be sent.
pub trait Permit: Send + Sync {
    /// Whether the term of the order goes on.
    fn is_valid(&self) -> bool;
}

/// Client for commands to upstreams and for queries to the policy service.
///
/// Each call must end within a bounded time. `token` is the fencing token of the order. `permit` is checked right before the
/// order is sent: the process may have stood still since the order was decided.
pub trait UpstreamClient: Send + Sync {
    /// Extends the lease of all runs on an upstream and lists them.
    fn hold(
        &self,
        target: Target,
        token: u64,
        permit: Arc<dyn Permit>,
        order: Hold,
    ) -> BoxFuture<'static, Result<Listing, Failure>>;

    /// Starts a task; returns the upstream's clock in milliseconds, if the answer contains it.
    fn start(
        &self,
        target: Target,
        token: u64,
        permit: Arc<dyn Permit>,
        order: Start,
    ) -> BoxFuture<'static, Result<Option<u64>, Failure>>;

    /// Stops a run; returns the upstream's clock in milliseconds, if the answer contains it.
    fn stop(
        &self,
        target: Target,
        token: u64,
        permit: Arc<dyn Permit>,
        order: Stop,
    ) -> BoxFuture<'static, Result<Option<u64>, Failure>>;

    /// Asks the policy service which of the upstreams may run a step; returns those with their tickets.
    fn advise(
        &self,
        step: id::Task,
        upstreams: Vec<id::Upstream>,
    ) -> BoxFuture<'static, Result<Vec<(id::Upstream, String)>, Failure>>;
}
