use {
    control::instance::Instance,
    model::config::Config,
    std::sync::{Arc, OnceLock},
};

/// The instance, set once it runs. The request path and the instance refer to each other.
#[derive(Clone, Default)]
pub struct Slot(Arc<OnceLock<Arc<Instance>>>);

impl Slot {
    /// Sets the instance.
    pub fn set(&self, instance: Arc<Instance>) {
        drop(self.0.set(instance));
    }

    /// The instance, once it runs.
    pub fn get(&self) -> Option<&Arc<Instance>> {
        self.0.get()
    }
}

impl entry::Configuration for Slot {
    fn current(&self) -> Option<Arc<Config>> {
        self.get()?.current()
    }
}
