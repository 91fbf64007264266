use std::net::SocketAddr;

/// Addresses on which the instance accepts connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Operators, callers of jobs, workers and upstreams.
    pub api: SocketAddr,
    /// Callers of requests.
    pub requests: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
}
