use {
    futures::future::BoxFuture,
    wire::{Update, Verdict},
};

/// Future of an answer. It runs on the network thread and must not block.
pub type Reply<T> = BoxFuture<'static, T>;

/// Handles calls from other instances. All methods run on the network thread.
pub trait Handler: Send + Sync {
    /// Accepts encoded consensus messages of one group from the instance `sender`; must not block.
    fn deliver(&self, group: &str, sender: u64, messages: Vec<Vec<u8>>);

    /// Executes a command if this instance leads the group.
    fn propose(&self, group: &str, command: &[u8]) -> Reply<Verdict>;

    /// Executes a query if this instance leads the group.
    fn query(&self, group: &str, query: &[u8]) -> Reply<Verdict>;

    /// Returns configuration newer than the number `applied`, and a lease, to an instance that follows the
    /// configuration.
    fn follow(&self, instance: u64, incarnation: u64, applied: u64) -> Reply<Update>;

    /// Accepts the report of an instance if this one leads the region group.
    fn report(&self, group: &str, instance: u64, report: &[u8]) -> Reply<Verdict>;

    /// Merges the encoded membership entries of another instance and returns those that are newer here.
    fn gossip(&self, instance: u64, entries: &[u8]) -> Vec<u8>;
}
