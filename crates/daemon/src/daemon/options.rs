use {
    model::clock::{Boot, Clock},
    std::sync::Arc,
};

/// What the command line adds to the settings.
#[derive(Clone)]
pub struct Options {
    /// Forms the groups whose first member is this instance, if its disk holds nothing of them.
    pub bootstrap: bool,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            bootstrap: false,
            clock: Arc::new(Boot::open()),
        }
    }
}
