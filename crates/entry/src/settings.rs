use {intake::Limits, std::time::Duration};

/// Bytes that may arrive on a connection without being read. Larger bodies are streamed, and paused with their upstream.
const UNREAD_BYTES: u32 = 64 << 10;

/// Bytes that may arrive without being read on a connection that has sent less than that at once.
const INITIAL_UNREAD_BYTES: u32 = 8 << 10;

/// Connections at once that may have [`UNREAD_BYTES`].
const LARGE_BUFFERS: usize = 256;

/// Bounds of the request path.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest accepted deadline, and the one of requests that name none.
    pub max_deadline: Duration,
    /// Largest accepted request body in bytes.
    pub max_body: u64,
    /// Largest accepted request head in bytes.
    pub max_head: usize,
    /// Most accepted headers.
    pub max_headers: usize,
    /// Callers' connections at once.
    pub max_connections: usize,
    /// A caller that sends or takes no byte for this long, while one is due, is disconnected.
    pub caller_stall: Duration,
    /// Lowest average rate, in bytes a second, of a body that is kept for a second send, after the first
    /// `caller_stall`.
    pub min_body_rate: u32,
    /// Kept bodies that arrive in very small chunks at once.
    pub max_fragmented_bodies: usize,
    /// Time to open a connection to an upstream.
    pub connect_timeout: Duration,
    /// Connections to all instances that an upstream accepts at most.
    pub upstream_connections: usize,
    /// Instances among which these are divided.
    pub instances: usize,
    /// An unused connection to an upstream older than this is closed instead of reused: a new one costs a
    /// round trip, and a link that went silent is not detected by anything cheaper.
    pub idle_reuse: Duration,
    /// A connection to an upstream older than this is replaced.
    pub connection_age: Duration,
    /// Time for which the listener still accepts after a drain begins.
    pub drain_settle: Duration,
    /// Memory in bytes for request bodies that may be sent a second time.
    pub replay_memory: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_deadline: Duration::from_secs(60),
            max_body: 8 << 20,
            max_head: 64 << 10,
            max_headers: 100,
            max_connections: 4096,
            caller_stall: Duration::from_secs(10),
            min_body_rate: 4 << 10,
            max_fragmented_bodies: 16,
            connect_timeout: Duration::from_secs(1),
            upstream_connections: 64,
            instances: 8,
            idle_reuse: Duration::from_secs(2),
            connection_age: Duration::from_secs(60),
            drain_settle: Duration::from_secs(5),
            replay_memory: 16 << 20,
        }
    }
}

impl Settings {
    /// The bounds that concern callers.
    pub(crate) fn limits(&self) -> Limits {
        Limits {
            connections: self.max_connections,
            head_bytes: self.max_head,
            head_fields: self.max_headers,
            head_time: self.caller_stall,
            idle_time: self.caller_stall,
            body_stall: self.caller_stall,
            body_rate: self.min_body_rate,
            initial_unread_bytes: INITIAL_UNREAD_BYTES,
            unread_bytes: UNREAD_BYTES,
            large_buffers: LARGE_BUFFERS,
            body_memory: self.replay_memory,
            fragmented_bodies: self.max_fragmented_bodies,
            answer_memory: self.replay_memory,
            write_stall: self.caller_stall,
        }
    }
}
