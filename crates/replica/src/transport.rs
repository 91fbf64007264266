use peers::Peers;

/// Sends consensus messages to the other replicas. Messages may be lost.
pub trait Transport: Send + Sync {
    /// Sends messages of a group to an instance without blocking.
    fn deliver(&self, to: u64, group: &str, messages: Vec<Vec<u8>>);
}

impl Transport for Peers {
    fn deliver(&self, to: u64, group: &str, messages: Vec<Vec<u8>>) {
        Peers::deliver(self, to, group, messages);
    }
}
