use {super::Head, std::time::Instant};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Claiming,
    Queued,
    Running,
}

/// A request that the router knows.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) head: Head,
    pub(super) phase: Phase,
    pub(super) offered: Instant,
    /// Upstreams that failed it.
    pub(super) tried: Vec<String>,
    pub(super) attempts: Vec<u64>,
    /// Whether bytes of any attempt were sent.
    pub(super) sent: bool,
    /// The attempt whose answer goes to the caller.
    pub(super) answering: Option<u64>,
    pub(super) hedged: bool,
}

/// One send of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: u64,
    pub(super) account: String,
    pub(super) class: model::request::Class,
    pub(super) service: String,
    pub(super) upstream: String,
    pub(super) started: Instant,
    /// Slot time charged at the start, in seconds.
    pub(super) charged: f64,
    pub(super) cancelled: bool,
}
