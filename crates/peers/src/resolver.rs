use std::net::SocketAddr;

/// Finds the address of an instance that was not given to [`Peers`](super::Peers) at the start.
pub trait Resolver: Send + Sync {
    /// The address on which the instance listens for other instances; none if the id is unknown or
    /// invalid.
    fn resolve(&self, id: u64) -> Option<SocketAddr>;
}

/// Resolves nothing: all instances were given at the start.
pub(super) struct NullResolver;

impl Resolver for NullResolver {
    fn resolve(&self, _id: u64) -> Option<SocketAddr> {
        None
    }
}
