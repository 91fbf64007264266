use work::{
    collections::{IndexMap, IndexSet},
    id,
};

/// Addresses of the registered upstreams, with all upstreams that have given the same one.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    by_upstream: IndexMap<id::Upstream, String>,
    by_address: IndexMap<String, IndexSet<id::Upstream>>,
}

impl Addresses {
    /// Records the address of an upstream.
    pub fn set(&mut self, upstream: &id::Upstream, address: &str) {
        let known = self.by_upstream.get(upstream);
        if known.is_some_and(|known| known == address) {
            return;
        }
        self.remove(upstream);
        self.by_upstream
            .insert(upstream.clone(), address.to_owned());
        let upstreams = self.by_address.entry(address.to_owned()).or_default();
        upstreams.insert(upstream.clone());
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &id::Upstream) {
        let Some(address) = self.by_upstream.swap_remove(upstream) else {
            return;
        };
        if let Some(upstreams) = self.by_address.get_mut(&address) {
            upstreams.swap_remove(upstream);
            if upstreams.is_empty() {
                self.by_address.swap_remove(&address);
            }
        }
    }

    /// Upstreams that have given this address.
    pub fn upstreams_at(&self, address: &str) -> impl Iterator<Item = &id::Upstream> {
        self.by_address.get(address).into_iter().flatten()
    }
}
