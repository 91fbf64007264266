use {
    super::chain::Context,
    crate::{call::Call, pool::Lease},
    model::place::{Site, permits},
    std::io,
};

/// Opens or reuses a connection to the chosen upstream.
pub(super) async fn connect(context: &Context, address: &str, reuse: bool) -> io::Result<Lease> {
    context.pool.lease(address, reuse).await
}

/// Tells whether the configuration in force permits the account at the site. Asked immediately before the
/// first byte leaves, since the request may have waited through a change.
pub(super) fn is_permitted(context: &Context, call: &Call, site: &Site) -> bool {
    context.deps.desk.configuration().is_some_and(|config| {
        config
            .accounts
            .get(&call.account)
            .is_some_and(|account| permits(account, site))
    })
}
