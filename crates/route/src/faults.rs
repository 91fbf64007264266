//! Fault injection for tests, to check that the fuzzers detect each fault. Without the feature `faults`
//! nothing is injected.

/// A programming error that a test can inject into the current thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The granter counts the slots of a silent process as free before its lease has ended.
    EarlyReturn,
    /// The claims of an instance that restarts are removed instead of marked unknown.
    ForgottenClaim,
    /// A request that is not idempotent is sent again after bytes of it were sent.
    RetryAfterSend,
    /// A new leader grants free slots without waiting for the leases of its predecessor.
    GrantAtOnce,
}

#[cfg(feature = "faults")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault into the current thread, or removes it if `None`.
#[cfg(feature = "faults")]
pub fn inject(fault: Option<Fault>) {
    INJECTED.with(|cell| cell.set(fault));
}

#[cfg(feature = "faults")]
pub(crate) fn injected(fault: Fault) -> bool {
    INJECTED.with(|cell| cell.get() == Some(fault))
}

#[cfg(not(feature = "faults"))]
pub(crate) const fn injected(_: Fault) -> bool {
    false
}
