use {
    futures::future::BoxFuture,
    wire::{Update, Verdict},
};

/// Future of the answer to a call. It runs on the network thread and must not block.
pub type Reply<T> = BoxFuture<'static, T>;

/// Handles calls from other instances. All methods run on the network thread.
pub trait Handler: Send + Sync {
    /// Accepts encoded consensus messages of one group from the instance `sender`; must not block.
    fn deliver(&self, group: &str, sender: u64, messages: Vec<Vec<u8>>);

    /// Executes a command if this instance leads the group; otherwise answers
    /// [`Verdict::NotLeader`].
    fn propose(&self, group: &str, command: &[u8]) -> Reply<Verdict>;

    /// Answers a query. A query about the state of a group is answered by its leader only.
    fn query(&self, group: &str, query: &[u8]) -> Reply<Verdict>;

    /// As the leader of the group `config`, gives `instance` a lease on the configuration, and the
    /// configuration itself if it is newer than the number `applied` (0 for none).
    ///
    /// `incarnation` differs with each start of the calling process. It is not the incarnation of a
    /// disk that `quorum::Member` holds.
    fn follow(&self, instance: u64, incarnation: u64, applied: u64) -> Reply<Update>;

    /// Accepts the report of what `instance` heard and needs since its last one, if this instance
    /// leads the group of the region.
    fn report(&self, group: &str, instance: u64, report: &[u8]) -> Reply<Verdict>;

    /// Merges what `instance` knows about the upstreams. The returned entries are sent back to it;
    /// there may be none.
    fn gossip(&self, instance: u64, entries: &[u8]) -> Vec<u8>;
}
