use std::fmt;

/// Why a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Reason {
    /// An idle or incomplete connection was closed for a new one.
    ConnectionClosed,
    /// A new connection was refused, as all others were being worked on.
    ConnectionRefused,
    /// The head is larger, or has more fields, than the bound.
    HeadSize,
    /// The head did not end in time.
    HeadTime,
    /// The body is larger than the bound.
    BodySize,
    /// No byte of the body arrived in time.
    BodyStall,
    /// The body arrived below the lowest rate.
    BodyRate,
    /// The memory for bodies is used up, and this body had gone longest without progress.
    BodyMemory,
    /// Too many bodies in very small chunks, and this one had gone longest without progress.
    Fragments,
    /// The memory for answers is used up, and this answer had been waiting the longest.
    AnswerMemory,
    /// The client took no byte of its answer in time.
    WriteStall,
}

impl Reason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Reason; 11] = [
        Reason::ConnectionClosed,
        Reason::ConnectionRefused,
        Reason::HeadSize,
        Reason::HeadTime,
        Reason::BodySize,
        Reason::BodyStall,
        Reason::BodyRate,
        Reason::BodyMemory,
        Reason::Fragments,
        Reason::AnswerMemory,
        Reason::WriteStall,
    ];
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::ConnectionClosed => "connection_closed",
            Reason::ConnectionRefused => "connection_refused",
            Reason::HeadSize => "head_size",
            Reason::HeadTime => "head_time",
            Reason::BodySize => "body_size",
            Reason::BodyStall => "body_stall",
            Reason::BodyRate => "body_rate",
            Reason::BodyMemory => "body_memory",
            Reason::Fragments => "fragments",
            Reason::AnswerMemory => "answer_memory",
            Reason::WriteStall => "write_stall",
        })
    }
}
