/// The replicated state of a group, as a deterministic state machine.
pub trait StateMachine: Send + Sync {
    /// Applies a committed command. `awaited` tells whether a proposer of this instance may be waiting for the
    /// encoded answer; otherwise it is not looked at.
    fn apply(&self, command: &[u8], awaited: bool) -> Result<Vec<u8>, String>;

    /// Encodes the state for a snapshot.
    fn save(&self) -> Result<Vec<u8>, String>;

    /// Replaces the state by that of a snapshot.
    fn restore(&self, bytes: &[u8]) -> Result<(), String>;
}
