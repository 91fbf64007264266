use tokio::sync::Notify;

/// Tells the task of a connection what is taken from it.
#[derive(Debug, Default)]
pub struct Signal {
    /// The connection is closed.
    pub close: Notify,
    /// The body that is being read is refused.
    pub cut: Notify,
}
