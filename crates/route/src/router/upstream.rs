use {crate::limit::Concurrency, model::place::Site};

/// State of an upstream from the view of this instance.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) service: String,
    pub(super) site: Site,
    pub(super) address: String,
    /// Index in [`super::Router::pools`].
    pub(super) pool: usize,
    pub(super) usable: bool,
    /// Requests that may run at once: the smaller of the share and the concurrency limit.
    pub(super) limit: u16,
    pub(super) share: u16,
    /// Attempts in flight.
    pub(super) busy: u16,
    /// Those of batch requests.
    pub(super) batch: u16,
    pub(super) concurrency: Concurrency,
}

impl Upstream {
    /// Slots for new attempts.
    pub(super) fn free(&self) -> u16 {
        if self.usable {
            self.limit.saturating_sub(self.busy)
        } else {
            0
        }
    }
}
