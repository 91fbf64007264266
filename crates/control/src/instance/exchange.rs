use std::time::Instant;

/// The request path's part in the messages between instances; all bytes are its own encoding.
pub trait Exchange: Send + Sync {
    /// Membership messages due now, with the ids of their receivers. Called each 500 ms.
    fn gossip(&self) -> Vec<(u64, Vec<u8>)>;

    /// Takes a membership message of another instance.
    fn merge(&self, message: &[u8]);

    /// Demand for the upstreams of the regions that `group` is home of; empty if there is none.
    fn demand(&self, group: &str) -> Vec<u8>;

    /// Decides on the demand of an instance, as the leader of `group` in `term` since `leading_since`.
    fn grant(&self, group: &str, demand: &[u8], term: u64, leading_since: Instant) -> Vec<u8>;

    /// This instance's counts of service levels.
    fn counts(&self) -> Vec<u8>;

    /// Takes the leader's answer to a demand.
    fn granted(&self, grants: &[u8]);
}
