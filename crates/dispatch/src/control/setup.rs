use {
    crate::{Observer, UpstreamClient},
    model::clock::Clock,
    plan::engine::Settings,
    std::{net::SocketAddrV4, path::PathBuf, sync::Arc},
};

/// Arguments of [`Control::spawn`](super::Control::spawn).
pub struct Setup {
    /// Address on which the instance listens for other instances. Its id is derived from it.
    pub address: SocketAddrV4,
    /// Addresses of control instances from the settings. On a first start they are the members of the new group.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time, so that the seeds form a new group.
    pub first_start: bool,
    /// Data folder; cleared if its contents are damaged.
    pub folder: PathBuf,
    /// Number of instances whose disks may be lost at the same time.
    pub tolerated_losses: usize,
    /// Settings of the engine that runs while this instance leads.
    pub plan: Settings,
    /// Clock; must keep counting while the machine is suspended.
    pub clock: Arc<dyn Clock>,
    /// Client for upstreams and the policy service.
    pub upstream_client: Arc<dyn UpstreamClient>,
    /// Receiver of the times that the leader's work takes.
    pub observer: Arc<dyn Observer>,
}
