use {
    model::upstream::Announcement,
    serde::{Deserialize, Serialize},
};

/// Gossip message from one instance to another about the upstreams that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Id of the sending instance.
    pub from: u64,
    /// Sequence number of the messages from this instance to this peer.
    pub number: u64,
    /// The last message received from the peer, by which the peer bounds the transit time of this message;
    /// none before the first.
    pub echo: Option<Echo>,
    /// Entries whose content is new or changed.
    pub records: Vec<Record>,
    /// Entries of which only the sequence number or the busy slots changed.
    pub renewals: Vec<Renewal>,
    /// Digest over the content of all entries that the sender knows.
    pub digest: u64,
    /// Asks the receiver to send all its entries.
    pub pull: bool,
}

/// The last message that the sender received from the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Its sequence number.
    pub number: u64,
    /// Time since it was received, in milliseconds.
    pub held_ms: u64,
}

/// An upstream with the age of its last announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The last announcement; `departing` may have been set by an instance.
    pub announcement: Announcement,
    /// Time since an instance received it from the upstream, in milliseconds.
    pub age_ms: u64,
}

/// A later announcement of an upstream whose content is known to the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// Name of the upstream.
    pub name: String,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Time since an instance received it from the upstream, in milliseconds.
    pub age_ms: u64,
    /// Slots that were running a request when the announcement was sent; none if the upstream does not report them.
    pub busy: Option<u16>,
}
