use serde::{Deserialize, Serialize};

/// A queue of jobs, found by host and path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path that callers name.
    pub prefix: String,
    /// Service whose upstreams run the tasks.
    pub service: String,
    /// Time limit of a call in milliseconds.
    pub timeout_ms: u64,
    /// Part of the latency objective that does not depend on the work, in milliseconds.
    pub objective_ms: u64,
    /// Part of the latency objective that does, as a multiple of the longest chain of work.
    pub stretch: f64,
    /// 0 comes first and may displace the others.
    pub priority: u8,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
    /// Set if a policy service decides which upstreams may run a step.
    pub advice: Option<Advice>,
}

/// How long the policy service takes and how long its answers hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Time for an answer in milliseconds.
    pub decide_ms: u64,
    /// Additional time for each upstream that is asked about, in milliseconds.
    pub each_ms: u64,
    /// Time for which an answer can be used, in milliseconds.
    pub valid_ms: u64,
}
