use serde::{Deserialize, Serialize};

/// A queue of jobs, selected by the host and path of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Label for logs. Several queues may have the same one, and another version may give it to another queue.
    pub name: String,
    /// Host of the requests that it takes.
    pub host: String,
    /// Path prefix of the requests that it takes.
    pub prefix: String,
    /// Service whose upstreams run the tasks.
    pub service: String,
    /// Time limit of a request in milliseconds; greater than 0.
    pub timeout_ms: u64,
    /// Constant part of the latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Proportional part of the latency objective: a multiple of the job's critical path.
    pub stretch: f64,
    /// 0 is the highest priority and may preempt the others.
    pub priority: u8,
    /// Number of failed runs of a task, or of a gang, after which its job fails; 0 counts as 1.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Set if a policy service decides which upstreams may run a step; otherwise every upstream of the service may.
    pub advice: Option<Advice>,
}

impl Queue {
    /// Host and prefix, which identify the queue. Different pairs never have the same text, and each text has a slash.
    pub fn endpoint(&self) -> String {
        let Queue { host, prefix, .. } = self;
        // The first slash separates the two.
        let is_plain = !host.is_empty() && !host.contains('/') && prefix.starts_with('/');
        match is_plain {
            true => format!("{host}{prefix}"),
            false => format!("/{}:{host}{prefix}", host.len()),
        }
    }

    /// Whether both take the requests of one host and prefix.
    pub fn shares_endpoint_with(&self, other: &Queue) -> bool {
        self.host == other.host && self.prefix == other.prefix
    }
}

/// Timing of the policy service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Base time of one decision in milliseconds.
    pub decide_ms: u64,
    /// Additional time for each upstream in the query, in milliseconds.
    pub each_ms: u64,
    /// Validity of a decision in milliseconds.
    pub valid_ms: u64,
}
