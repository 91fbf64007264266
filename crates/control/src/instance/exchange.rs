use std::time::Instant;

/// The request path's part in the messages between instances; all bytes are its own encoding.
pub trait Exchange: Send + Sync {
    /// Entries to send to another instance.
    fn gossip(&self, to: u64, now: Instant) -> Vec<u8>;

    /// Merges entries of another instance.
    fn merge(&self, from: u64, entries: &[u8], now: Instant);

    /// Demand and shares of this instance for the leader of `group`.
    fn demand(&self, group: &str, now: Instant) -> Vec<u8>;

    /// Decides as the leader of `group`, since `leading_since`, on the demand of an instance.
    fn grant(
        &self,
        group: &str,
        from: u64,
        demand: &[u8],
        leading_since: Instant,
        now: Instant,
    ) -> Vec<u8>;

    /// Takes the leader's answer to the demand sent at `sent`.
    fn granted(&self, group: &str, grants: &[u8], sent: Instant);
}
