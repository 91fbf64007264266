use {
    crate::UpstreamClient,
    model::clock::Clock,
    plan::engine::Settings,
    std::{net::SocketAddrV4, path::PathBuf, sync::Arc},
};

/// What a control instance needs to start.
pub struct Setup {
    /// Where it listens for other instances.
    pub address: SocketAddrV4,
    /// Where other control instances listen, as far as the settings name them.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Data folder.
    pub folder: PathBuf,
    /// Instances with a disk that may be lost at once.
    pub tolerated_losses: usize,
    /// Bounds for jobs and runs.
    pub plan: Settings,
    /// Source of time; must count while the machine is suspended.
    pub clock: Arc<dyn Clock>,
    /// Orders to upstreams.
    pub upstream_client: Arc<dyn UpstreamClient>,
}
