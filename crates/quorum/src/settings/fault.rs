/// Deviation from the protocol that the consistency tests plant to prove that they detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A vote is sent before it is on disk.
    VoteBeforeSync,
    /// A leader answers reads after its lease has ended and does not step down.
    ExpiredLease,
    /// A learner is promoted before it holds the committed entries.
    EarlyPromotion,
    /// Entries are acknowledged and counted before they are on disk.
    AckBeforeSync,
    /// A new disk under an old id is taken for the old one.
    ReplacedDisk,
}
