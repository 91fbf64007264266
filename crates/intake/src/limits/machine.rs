/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory: usize,
    /// File descriptors for sockets and data files.
    pub descriptors: usize,
    /// Whether the process itself opens about as many connections as it accepts.
    pub calls_upstreams: bool,
}

impl Machine {
    /// Descriptors for callers. The rest is for connections to other instances and upstreams, for the disk and for
    /// monitoring.
    pub(super) fn caller_descriptors(&self) -> usize {
        match self.calls_upstreams {
            true => self.descriptors / 8 * 3,
            false => self.descriptors / 4 * 3,
        }
    }
}
