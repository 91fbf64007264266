use {model::request::Class, std::time::Instant};

/// What the router knows about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Unique id within the instance.
    pub request: u64,
    /// The client account.
    pub account: String,
    /// The class.
    pub class: Class,
    /// The service that answers it.
    pub service: String,
    /// When the whole answer must have arrived.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its body can be sent a second time.
    pub replayable: bool,
}
