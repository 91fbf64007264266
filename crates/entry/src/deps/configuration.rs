use {model::config::Config, std::sync::Arc};

/// The configuration in force on this instance.
pub trait Configuration: Send + Sync {
    /// The configuration, if its lease is valid.
    fn current(&self) -> Option<Arc<Config>>;
}
