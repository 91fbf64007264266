//! Faults that tests inject to check that the fuzzers find them; nothing is injected without the feature
//! `faults`.

/// A mistake that a test can inject in the current thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The granter returns a share before the lease has ended.
    EarlyReturn,
    /// The claims of an instance that restarts are removed.
    ForgottenClaim,
    /// A request is sent again after bytes of it were sent.
    RetryAfterSend,
    /// A new leader grants free slots without waiting for the leases of its predecessor.
    GrantAtOnce,
}

#[cfg(feature = "faults")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Plants a fault in the current thread, or removes it.
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
