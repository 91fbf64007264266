/// Replicated state of a group. It must be deterministic, because each replica applies the same commands.
pub trait StateMachine: Send + Sync {
    /// Applies a committed command and returns the encoded answer. The answer is ignored unless `awaited`, which says
    /// that a proposer on this instance may be waiting for it.
    fn apply(&self, command: &[u8], awaited: bool) -> Result<Vec<u8>, String>;

    /// Encodes the state for a snapshot.
    fn save(&self) -> Result<Vec<u8>, String>;

    /// Replaces the state with that of a snapshot.
    fn restore(&self, bytes: &[u8]) -> Result<(), String>;
}
