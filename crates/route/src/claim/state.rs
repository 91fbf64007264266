use serde::{Deserialize, Serialize};

/// The first answer to a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, if it was small enough to keep.
    pub body: Option<Vec<u8>>,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The claim is committed; its holder may send the request at any moment.
    Claimed,
    /// Bytes were sent to an upstream.
    Sent,
    /// The whole answer arrived.
    Answered(Answer),
    /// Nothing was sent, and nothing will be under this claim.
    Released,
    /// It may have run; whether it did cannot be determined.
    Unknown,
}
