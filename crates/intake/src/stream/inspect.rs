/// Sees the bytes of a connection as they arrive.
pub trait Inspect: Send {
    /// Takes bytes that were read from the client.
    fn read(&mut self, bytes: &[u8]);
}
