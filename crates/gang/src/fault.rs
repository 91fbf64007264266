/// A rule that the scheduler breaks on purpose, so that tests can show that the oracle finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Proposes accelerators again that were proposed in the same call.
    DoubleAllocation,
    /// Leaves out the last task of a gang.
    PartialGang,
    /// Spreads gangs over a whole data centre.
    IgnoreAdjacency,
    /// Admits work without proving the guarantees.
    SkipProof,
    /// Does not report what is owed.
    HideShortfalls,
    /// Borrows in places where a guarantee is owed.
    BorrowDespiteShortfall,
    /// Places work outside the permitted places.
    IgnorePlace,
    /// Leaves work running in a withdrawn place.
    KeepWithdrawn,
    /// Places on workers that are silent or drained.
    UseOutOfService,
    /// Starts a job more often than its bound.
    UnboundedAttempts,
    /// Lets an account hold more than its quota.
    IgnoreQuota,
    /// Places jobs whose cancellation was accepted.
    PlaceCancelled,
    /// Does not queue a job again after a reclaim.
    LoseReclaimed,
    /// Reclaims work that may not run again.
    ReclaimNonPreemptible,
    /// Puts work that cannot be stopped on reserved places.
    BackfillNonPreemptible,
    /// Quarantines workers for jobs that fail everywhere.
    QuarantineWithoutEvidence,
}
