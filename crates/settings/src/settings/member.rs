use {model::place::Site, std::net::SocketAddr};

/// An instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its id, unique in the deployment.
    pub id: u64,
    /// Where it stands.
    pub site: Site,
    /// Where it accepts connections of other instances.
    pub peers: SocketAddr,
}
