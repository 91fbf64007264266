use {
    super::Exchange,
    crate::{jobs, worker::Link},
    indexmap::IndexMap,
    model::{clock::Clock, place::Site},
    std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
};

/// An instance of the deployment.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub site: Site,
    /// Where it listens for other instances.
    pub peers: SocketAddr,
}

/// What an instance needs to start.
pub struct Setup {
    /// Id of this instance; a key of `instances`.
    pub id: u64,
    /// Differs with each start of the process.
    pub incarnation: u64,
    /// All instances of the deployment by id, this one included.
    pub instances: IndexMap<u64, Place>,
    /// Control instances of each group.
    pub groups: IndexMap<String, Vec<u64>>,
    /// Group that keeps the jobs and claims of each region.
    pub homes: IndexMap<String, String>,
    /// Data folder of a control instance.
    pub folder: Option<PathBuf>,
    /// Forms each group whose first member is this instance, if its disk holds nothing.
    pub bootstrap: bool,
    /// Timing of the replicas.
    pub quorum: quorum::Settings,
    /// Timing of jobs; `regions` is filled in for each group.
    pub jobs: jobs::Settings,
    /// Length of the lease on the configuration.
    pub config_lease: Duration,
    /// Wait for the answer of another instance.
    pub call_timeout: Duration,
    /// Takes the transitions of jobs that count for service levels.
    pub observer: Arc<dyn jobs::Observer>,
    /// Sends orders to workers.
    pub link: Arc<dyn Link>,
    /// The request path's part in messages.
    pub exchange: Arc<dyn Exchange>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
}
