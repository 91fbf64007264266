use {super::Head, std::time::Instant};

/// State of a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for its claim.
    Claiming,
    /// Waits for a slot.
    Queued,
    /// Was sent to an upstream.
    Running,
}

/// A request that was offered and neither answered nor refused.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) head: Head,
    pub(super) phase: Phase,
    pub(super) offered: Instant,
    /// Upstreams at which an attempt failed.
    pub(super) tried: Vec<String>,
    /// Number of attempts that failed after they had been sent.
    pub(super) lost: u32,
    /// Attempts that are running.
    pub(super) attempts: Vec<u64>,
    /// Whether bytes of any attempt were sent.
    pub(super) sent: bool,
    /// The attempt whose answer is being passed to the client.
    pub(super) answering: Option<u64>,
    pub(super) hedged: bool,
}

/// One sending of a request to an upstream.
#[derive(Clone, Debug)]
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
    /// When it was given up although the upstream may still run it; none while it runs.
    pub(super) unresolved_since: Option<Instant>,
}
