use {
    model::upstream::Announcement,
    serde::{Deserialize, Serialize},
};

/// What one instance tells another about the upstreams that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The sending instance.
    pub from: u64,
    /// Counts the messages from this instance to this peer.
    pub number: u64,
    /// The last message received from the peer; bounds the time that this message was under way.
    pub echo: Option<Echo>,
    /// Entries whose content is new or changed.
    pub records: Vec<Record>,
    /// Entries of which only the sequence or the busy slots changed.
    pub renewals: Vec<Renewal>,
    /// Digest over the content of all entries that the sender knows.
    pub digest: u64,
    /// Asks the receiver to send all its entries.
    pub pull: bool,
}

/// The last message that the sender received from the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Its number.
    pub number: u64,
    /// Time since then, in milliseconds.
    pub held_ms: u64,
}

/// An upstream with the age of its last announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The last announcement.
    pub announcement: Announcement,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u64,
}

/// A later announcement of an upstream whose content is known to the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The upstream.
    pub name: String,
    /// The announcement's sequence.
    pub sequence: u64,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u64,
    /// Slots that ran a request then, if reported.
    pub busy: Option<u16>,
}
