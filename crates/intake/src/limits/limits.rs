use {super::Machine, crate::stream::BACKLOG, std::time::Duration};

/// Part of the memory for connections, as a divisor.
const CONNECTION_PART: usize = 3;

/// Part of the memory for bodies, and the same for answers that are not read, as a divisor.
const BODY_PART: usize = 8;

/// Memory of a connection beside its head, in bytes: 8 KiB for writing, and the task.
const CONNECTION_BYTES: usize = 16 << 10;

/// Part of the largest body that may be unread, as a divisor: that body then takes 32 round trips, half a second between
/// regions.
const UNREAD_PART: usize = 32;

/// Least bytes that may be unread: an ordinary request is smaller.
const MIN_UNREAD_BYTES: usize = 32 << 10;

/// Part of the memory for bytes that are not read, as a divisor: connections that wait to be accepted included.
const UNREAD_MEMORY_PART: usize = 8;

/// Part of the memory for the larger receive buffers, as a divisor.
const LARGE_BUFFER_PART: usize = 16;

/// The kernel reserves twice the size of a receive buffer that it is told.
const KERNEL_FACTOR: usize = 2;

/// Smallest receive buffer, in bytes.
const MIN_RECEIVE_BUFFER: usize = 2 << 10;

/// Fewest connections, so that a process with few descriptors still serves.
const MIN_CONNECTIONS: usize = 8;

/// Bounds on what the clients of a process may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Callers' connections open at once.
    pub connections: usize,
    /// Largest head in bytes, with the empty lines before it.
    pub head_bytes: usize,
    /// Most fields of a head.
    pub head_fields: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time without a request on an open connection.
    pub idle_time: Duration,
    /// Longest time without a byte of a body that is not complete.
    pub body_stall: Duration,
    /// Lowest rate of a body in bytes a second, on average after the first `body_stall`.
    pub body_rate: u32,
    /// Bytes that may arrive on a connection without being read, as the kernel is told; some platforms count them as
    /// memory of the process. Connections that are not accepted yet count, too.
    pub initial_unread_bytes: u32,
    /// The same for a connection on which more than that is sent.
    pub unread_bytes: u32,
    /// Connections at once that may have `unread_bytes`.
    pub large_buffers: usize,
    /// Memory for all request bodies in bytes.
    pub body_memory: usize,
    /// Incomplete bodies in very small chunks at once. Such a body costs far more processor time than its bytes.
    pub fragmented_bodies: usize,
    /// Memory for all large answers that clients have not taken yet, in bytes.
    pub answer_memory: usize,
    /// Longest time for which a client takes no byte of an answer.
    pub write_stall: Duration,
}

impl Limits {
    /// Bounds for a process on `machine` that accepts bodies of `largest_body` bytes.
    pub fn new(machine: Machine, largest_body: usize) -> Limits {
        let limits = Limits {
            connections: 0,
            initial_unread_bytes: 0,
            large_buffers: 0,
            // 16 KiB of fields and 8 KiB for the request line.
            head_bytes: 24 << 10,
            head_fields: 100,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
            body_stall: Duration::from_secs(20),
            body_rate: 4 << 10,
            unread_bytes: (largest_body / UNREAD_PART).max(MIN_UNREAD_BYTES) as u32,
            body_memory: (machine.memory / BODY_PART).max(largest_body / 2 * 3),
            fragmented_bodies: 16,
            answer_memory: (machine.memory / BODY_PART).max(largest_body / 2 * 3),
            write_stall: Duration::from_secs(20),
        };
        let by_memory = machine.memory / CONNECTION_PART / (limits.head_bytes + CONNECTION_BYTES);
        let connections = by_memory
            .min(machine.caller_descriptors())
            .max(MIN_CONNECTIONS);
        let queued = connections + BACKLOG as usize;
        let initial = machine.memory / UNREAD_MEMORY_PART / queued / KERNEL_FACTOR;
        let large_buffer = limits.unread_bytes as usize * KERNEL_FACTOR;
        Limits {
            connections,
            initial_unread_bytes: initial.clamp(MIN_RECEIVE_BUFFER, limits.unread_bytes as usize)
                as u32,
            large_buffers: (machine.memory / LARGE_BUFFER_PART / large_buffer).max(1),
            ..limits
        }
    }
}
