use std::net::SocketAddr;

/// Finds the address of an instance that was not named at the start.
pub trait Resolver: Send + Sync {
    /// The peer address of an instance; none if the id gives none.
    fn resolve(&self, id: u64) -> Option<SocketAddr>;
}

/// Knows no instances besides the named ones.
pub(super) struct NullResolver;

impl Resolver for NullResolver {
    fn resolve(&self, _id: u64) -> Option<SocketAddr> {
        None
    }
}
