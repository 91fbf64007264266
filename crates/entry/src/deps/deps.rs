use {
    super::{Claims, Observer},
    crate::{Desk, Settings},
    std::sync::Arc,
};

/// Dependencies of a [`crate::Server`].
#[derive(Clone)]
pub struct Deps {
    /// The router with its clock and configuration.
    pub desk: Arc<Desk>,
    /// Claims of non-idempotent requests.
    pub claims: Arc<dyn Claims>,
    /// Receives finished requests.
    pub observer: Arc<dyn Observer>,
    /// Bounds.
    pub settings: Settings,
}
