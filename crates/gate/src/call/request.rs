use {
    quorum::Member,
    serde::{Deserialize, Serialize},
    std::fmt,
    work::{
        config::Config,
        id,
        job::Definition,
        registry::Order,
        upstream::{NumberedReport, Speed, StartReport, Upstream},
    },
};

/// A request to the leader, except for [`Request::Speeds`], [`Request::Starts`] and [`Request::NumberedStarts`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A client's request about a job or a queue.
    Job {
        /// The client and the host and path that it called.
        caller: Caller,
        /// The requested operation.
        action: Action,
    },
    /// Replaces the configuration. A version that is not newer than the stored one changes nothing.
    Configure(Box<Config>),
    /// Reads the configuration.
    Configuration,
    /// Heartbeat of an upstream; the first one registers it.
    Heartbeat {
        /// The upstream's description of itself.
        upstream: Box<Upstream>,
        /// Increases with each heartbeat until the upstream restarts. Older heartbeats are ignored.
        sequence: u64,
        /// The upstream's clock in milliseconds, if the heartbeat contains it.
        clock_ms: Option<u64>,
    },
    /// Deregisters an upstream.
    Leave {
        /// Id of the upstream.
        upstream: id::Upstream,
        /// Start time of the upstream in milliseconds since the Unix epoch. If the upstream has registered with another
        /// start time, the request has no effect. `None` matches any start time.
        born_ms: Option<u64>,
    },
    /// Announces a control instance to the leader.
    Greeting {
        /// Id and disk incarnation of the instance.
        member: Member,
        /// The instance's time of day in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// Upstreams, with their start times, whose heartbeats the instance has acknowledged since its last greeting.
        heard: Vec<(id::Upstream, u64)>,
    },
    /// Checks that the leader can be reached; sent by entry instances.
    Ping,
    /// Lists the data centres.
    DataCentres,
    /// Evacuates a data centre or takes it back. An order that follows another one than `after` changes nothing.
    Evacuate {
        /// Name of the data centre.
        data_centre: String,
        /// What the operator orders.
        order: Order,
        /// Number of the order before it, from [`Reply::DataCentres`](super::Reply::DataCentres).
        after: u64,
    },
    /// Tells the leader that an upstream is slow after its start. Sent beside its heartbeats, so that these stay as earlier
    /// builds read them.
    Cold {
        /// Id of the upstream.
        upstream: id::Upstream,
        /// Start time of the upstream in milliseconds since the Unix epoch.
        born_ms: u64,
        /// How much longer it is slow, in milliseconds.
        remaining_ms: u64,
    },
    /// Speeds of upstreams that the leader has learned, none if they count as alike; sent by the leader to followers.
    Speeds(Vec<Speed>),
    /// Starts without a known outcome; sent by the leader to followers that do not know [`Request::NumberedStarts`].
    Starts(StartReport),
    /// Starts without a known outcome; sent by the leader to followers.
    NumberedStarts(NumberedReport),
}

/// A client, and the host and path that it called.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Caller {
    /// Host header of the call, without the port.
    pub host: String,
    /// Path of the call.
    pub path: String,
    /// API key, if the call has one.
    pub key: Option<String>,
}

/// Operation on a job or queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Action {
    /// Submit a job.
    Submit(Box<Definition>),
    /// Show a job, or the number of waiting jobs of a queue.
    Show,
    /// Cancel a job.
    Cancel,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Action::Submit(_) => "submit",
            Action::Show => "show",
            Action::Cancel => "cancel",
        })
    }
}
