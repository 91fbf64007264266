use {
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Messages to a peer whose sending time is kept, to bound the transit time of messages that echo them.
const MAX_SENT: usize = 32;

/// Another instance that takes part in the gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its instance id.
    pub id: u64,
    /// The region that it is in.
    pub region: String,
}

/// State of the gossip with one peer.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub(super) region: String,
    /// Number of the last message to the peer.
    pub(super) number: u64,
    /// Number and time of the last messages to the peer.
    pub(super) sent: VecDeque<(u64, Instant)>,
    /// Number and time of the last message from the peer.
    pub(super) received: Option<(u64, Instant)>,
    /// Per upstream: the content digest and sequence number sent last, and how often the content is still to be
    /// repeated.
    pub(super) advertised: IndexMap<String, (u64, u64, u8)>,
    /// Whether the digest in the peer's last message was equal to that of this instance.
    pub(super) in_agreement: bool,
    /// Messages from the peer in a row whose digest was different.
    pub(super) mismatches: u8,
    /// The next message asks the peer for all entries.
    pub(super) pull_wanted: bool,
    /// The peer asked for all entries.
    pub(super) pull_requested: bool,
    /// Every message until then asks for all entries.
    pub(super) pull_until: Option<Instant>,
}

impl Exchange {
    pub(super) fn new(region: &str) -> Exchange {
        Exchange {
            region: region.to_owned(),
            number: 0,
            sent: VecDeque::new(),
            received: None,
            advertised: IndexMap::new(),
            in_agreement: false,
            mismatches: 0,
            pull_wanted: false,
            pull_requested: false,
            pull_until: None,
        }
    }

    /// Tells whether a message from the peer arrived within the last `bound`.
    pub(super) fn is_live(&self, now: Instant, bound: Duration) -> bool {
        self.received
            .is_some_and(|(_, at)| now.duration_since(at) < bound)
    }

    /// Returns the number of a message that is sent now.
    pub(super) fn next_number(&mut self, now: Instant) -> u64 {
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.number
    }

    /// Returns an upper bound on the transit time of a message with this echo, if the echoed message is known.
    pub(super) fn transit_bound(&self, echo: super::Echo, now: Instant) -> Option<Duration> {
        let (_, at) = self
            .sent
            .iter()
            .find(|(number, _)| *number == echo.number)?;
        Some(
            now.duration_since(*at)
                .saturating_sub(Duration::from_millis(echo.held_ms)),
        )
    }
}
