use std::time::Duration;

/// What the stand-in does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers with its body after a delay.
    Answer(Duration),
    /// Runs it and answers in chunks with a trailer `x-sum`.
    Chunked {
        /// Number of chunks of 1 KiB.
        chunks: usize,
        /// Pause before each chunk.
        pause: Duration,
    },
    /// Runs it and answers with its body in chunks after a delay.
    EchoChunked(Duration),
    /// Runs it, announces its whole body after a delay, sends half of it and closes.
    EchoPart(Duration),
    /// Runs it, announces 100 bytes, sends this many and closes.
    Truncate(usize),
    /// Runs it, sends a chunk without the final one and closes.
    TruncateChunked,
    /// Runs it, announces 100 bytes, sends this many and goes silent.
    Stall(usize),
    /// Runs it and answers with bytes that are not HTTP.
    Garbage,
    /// Runs it and closes without an answer.
    CloseEarly,
    /// Runs it, answers and closes without announcing that.
    CloseAfter,
    /// Never answers; the connection stays open.
    Silent,
    /// Runs it and answers twice, the second time after this pause.
    Duplicate(Duration),
    /// Runs it and answers twice at once, both times without the mark of the attempt.
    DuplicateUnmarked,
    /// Runs it and answers with the mark of another attempt.
    Crossed,
    /// Runs it and answers without a length or chunks; only the end of the connection ends the body.
    Unframed,
    /// Runs it and answers with this status.
    Status(u16),
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour::Answer(Duration::ZERO)
    }
}
