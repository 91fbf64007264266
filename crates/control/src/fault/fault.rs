#[cfg(feature = "faults")]
use std::cell::Cell;

/// A fault that a test plants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A note is applied whatever number it expects.
    NoteWithoutCompare,
    /// A claim is granted although the key is claimed.
    ClaimGrantedTwice,
    /// The accelerators of placed gangs are not known after a snapshot is read.
    HeldSlotsNotRestored,
    /// A late answer replaces a newer configuration by an older one.
    FollowerGoesBack,
    /// A new leader takes instances that have not reported for instances without a lease.
    PredecessorForgotten,
    /// A gang starts when one of its tasks is reserved.
    StartWithoutAllReserved,
    /// Orders are sent whether or not the leader's lease is valid.
    OrdersWithoutLease,
    /// A stopped gang is queued again before its workers' leases are over.
    RequeueBeforeLeaseEnd,
}

#[cfg(feature = "faults")]
thread_local! {
    static PLANTED: Cell<Option<Fault>> = const { Cell::new(None) };
}

/// Plants a fault in what runs on this thread, or removes it.
#[cfg(feature = "faults")]
pub fn plant(fault: Option<Fault>) {
    PLANTED.set(fault);
}

/// Does nothing without the feature `faults`.
#[cfg(not(feature = "faults"))]
pub fn plant(_fault: Option<Fault>) {}

#[cfg(feature = "faults")]
pub(crate) fn is(fault: Fault) -> bool {
    PLANTED.get() == Some(fault)
}

#[cfg(not(feature = "faults"))]
pub(crate) fn is(_fault: Fault) -> bool {
    false
}
