/// A rule that the scheduler is made to break, so that tests can show that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Allocates accelerators twice within one call of `decide`.
    DoubleAllocation,
    /// Omits the last task of a gang.
    PartialGang,
    /// Spreads gangs over a whole data centre.
    IgnoreAdjacency,
    /// Admits work without checking that the guarantees can still be met.
    SkipProof,
    /// Does not report shortfalls.
    HideShortfalls,
    /// Borrows where a guarantee cannot be met.
    BorrowDespiteShortfall,
    /// Places jobs at sites that their account may not use.
    IgnorePlace,
    /// Does not reclaim jobs whose account may no longer use the site.
    KeepWithdrawn,
    /// Places jobs on workers that are silent, drained or quarantined.
    UseOutOfService,
    /// Starts a job more often than its maximum number of attempts.
    UnboundedAttempts,
    /// Lets an account exceed its quota.
    IgnoreQuota,
    /// Places jobs whose cancellation was accepted.
    PlaceCancelled,
    /// Does not queue a job again after a reclaim.
    LoseReclaimed,
    /// Reclaims jobs that are not repeatable or are on their last attempt.
    ReclaimNonPreemptible,
    /// Backfills reserved accelerators with jobs that cannot be preempted.
    BackfillNonPreemptible,
    /// Quarantines workers for failed jobs that run nowhere else either.
    QuarantineWithoutEvidence,
}
