/// Violation of the protocol that the consistency tests inject to prove that they detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A vote is sent before it is synced to disk.
    VoteBeforeSync,
    /// A leader still answers reads and does not step down after its lease has ended.
    ExpiredLease,
    /// A learner is promoted before it holds the committed entries.
    EarlyPromotion,
    /// Entries are acknowledged and counted before they are synced to disk.
    AckBeforeSync,
    /// A new disk under a known id is taken for the old disk.
    ReplacedDisk,
}
