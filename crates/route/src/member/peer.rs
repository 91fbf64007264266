use {
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Messages whose sending time is kept to bound the transit time of answers.
const MAX_SENT: usize = 32;

/// Another instance that takes part in the gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub id: u64,
    /// Its region.
    pub region: String,
}

/// What is known about the exchange with one peer.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) region: String,
    pub(super) number: u64,
    pub(super) sent: VecDeque<(u64, Instant)>,
    pub(super) received: Option<(u64, Instant)>,
    /// Per upstream: the content digest and sequence sent last, and how often the content is still repeated.
    pub(super) advertised: IndexMap<String, (u64, u64, u8)>,
    /// Whether the peer's last digest was the own one.
    pub(super) in_agreement: bool,
    pub(super) mismatches: u8,
    pub(super) pull_wanted: bool,
    pub(super) pull_requested: bool,
    /// Entries are pulled with every message until then.
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

    /// Tells whether a message arrived within `bound`.
    pub(super) fn is_live(&self, now: Instant, bound: Duration) -> bool {
        self.received
            .is_some_and(|(_, at)| now.duration_since(at) < bound)
    }

    /// Records that message `number` leaves now.
    pub(super) fn next_number(&mut self, now: Instant) -> u64 {
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.number
    }

    /// Upper bound on the time that a message with this echo was under way.
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
