use {crate::limit::Concurrency, model::place::Site};

/// An upstream as this instance uses it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) service: String,
    pub(super) site: Site,
    pub(super) address: String,
    /// Index of its pool.
    pub(super) pool: usize,
    pub(super) usable: bool,
    /// Requests that may run at once: the share, lowered by the concurrency limit.
    pub(super) limit: u16,
    pub(super) share: u16,
    pub(super) busy: u16,
    pub(super) batch: u16,
    pub(super) concurrency: Concurrency,
}

impl Upstream {
    pub(super) fn free(&self) -> u16 {
        if self.usable {
            self.limit.saturating_sub(self.busy)
        } else {
            0
        }
    }
}
