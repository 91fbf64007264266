use {
    futures::future::BoxFuture,
    wire::{Update, Verdict},
};

/// An answer that arrives later.
pub type Reply<T> = BoxFuture<'static, T>;

/// What an instance does with calls from other instances.
pub trait Handler: Send + Sync {
    /// Takes consensus messages of one group; must not block.
    fn deliver(&self, group: &str, sender: u64, messages: Vec<Vec<u8>>);

    /// Executes a command if this instance leads the group.
    fn propose(&self, group: &str, command: &[u8]) -> Reply<Verdict>;

    /// Reads from a group that this instance leads.
    fn query(&self, group: &str, query: &[u8]) -> Reply<Verdict>;

    /// Answers a follower of the configuration.
    fn follow(&self, instance: u64, incarnation: u64, applied: u64) -> Reply<Update>;

    /// Takes the report of an instance to the leader of a region group.
    fn report(&self, group: &str, instance: u64, report: &[u8]) -> Reply<Verdict>;

    /// Merges membership entries of another instance and returns newer ones.
    fn gossip(&self, instance: u64, entries: &[u8]) -> Vec<u8>;
}
