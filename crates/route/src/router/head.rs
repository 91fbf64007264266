use {model::request::Class, std::time::Instant};

/// The properties of a request by which the router decides; its headers and body stay with the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Unique id within the instance.
    pub request: u64,
    /// Name of the client account that sent it.
    pub account: String,
    /// Class, by which slots are shared and service times are kept.
    pub class: Class,
    /// Name of the service that it is for.
    pub service: String,
    /// When the whole answer must have arrived; refused or cancelled after that.
    pub deadline: Instant,
    /// Whether it may run more than once; if not, it is claimed before it is sent.
    pub idempotent: bool,
    /// Whether its body can be sent a second time.
    pub replayable: bool,
}
