use {
    super::{Delta, Echo, Peer, Record, Renewal, peer::Exchange},
    indexmap::IndexMap,
    model::upstream::{Announcement, Upstream},
    std::time::{Duration, Instant},
};

/// An upstream gets no new requests when its last announcement is older than this.
pub const EXPIRY: Duration = Duration::from_secs(3);

/// Number of messages to a peer that carry changed content. A departure arrives even if two of them are lost.
const CONTENT_REPEATS: u8 = 3;

/// Consecutive messages with a different digest after which all entries are pulled from the peer. With a lower
/// value, every change that has not reached both sides yet would cause a pull.
const MISMATCHES_BEFORE_PULL: u8 = 3;

/// If a peer has an update of an entry this old, the direct path of the update to this instance is broken: on
/// it, updates arrive within the intervals of announcements and of gossip, together 1.5 s.
const STALE_AGE: Duration = Duration::from_millis(1500);

/// Time for which entries are pulled with every message after an update of a stale entry.
const STALE_PULL_TIME: Duration = Duration::from_secs(10);

/// Time for which entries are pulled with every message after a record of an unknown upstream, which most often
/// means that this instance has just started.
const UNKNOWN_PULL_TIME: Duration = Duration::from_secs(2);

/// From where the latest news of an entry came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The upstream itself.
    Direct,
    /// An instance of the own region.
    Region,
    /// An instance of another region.
    Remote,
}

#[derive(Clone, Debug)]
struct Entry {
    announcement: Announcement,
    /// Earliest time at which an instance can have received the announcement.
    last_heard: Instant,
    origin: Origin,
    /// Digest of the fields that peers must agree on.
    content: u64,
}

/// The upstreams known to one instance, with the state of its gossip.
#[derive(Clone, Debug)]
pub struct Members {
    instance: u64,
    region: String,
    entries: IndexMap<String, Entry>,
    exchanges: IndexMap<u64, Exchange>,
    /// Counts the calls of [`Members::messages`].
    round: u64,
}

impl Members {
    /// Returns a list without upstreams for `instance`, which is in `region`.
    pub fn new(instance: u64, region: &str) -> Members {
        Members {
            instance,
            region: region.to_owned(),
            entries: IndexMap::new(),
            exchanges: IndexMap::new(),
            round: 0,
        }
    }

    /// Replaces the list of peers; `peers` may contain this instance.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        self.exchanges
            .retain(|id, _| peers.iter().any(|peer| peer.id == *id));
        for peer in peers.iter().filter(|peer| peer.id != self.instance) {
            self.exchanges
                .entry(peer.id)
                .or_insert_with(|| Exchange::new(&peer.region));
        }
    }

    /// Adds or updates an upstream by an announcement that it sent to this instance.
    pub fn announce(&mut self, announcement: &Announcement, now: Instant) {
        self.merge(announcement.clone(), now, Origin::Direct, now);
    }

    /// Marks an upstream as departing. Returns false if it is not known.
    ///
    /// The mark stays until the upstream has been silent for [`EXPIRY`], so announcements still in transit do
    /// not revert it.
    pub fn depart(&mut self, name: &str, now: Instant) -> bool {
        let Some(entry) = self.live_entry(name, now) else {
            return false;
        };
        let mut announcement = entry.announcement.clone();
        announcement.departing = true;
        announcement.sequence = announcement.sequence.saturating_add(1);
        self.merge(announcement, now, Origin::Direct, now);
        true
    }

    fn live_entry(&self, name: &str, now: Instant) -> Option<&Entry> {
        self.entries
            .get(name)
            .filter(|entry| now.duration_since(entry.last_heard) < EXPIRY)
    }

    /// Takes over an announcement if it is newer than the known one. A departure mark stays until the entry
    /// expires.
    fn merge(&mut self, next: Announcement, heard: Instant, origin: Origin, now: Instant) {
        if now.duration_since(heard) >= EXPIRY {
            return;
        }
        let name = next.upstream.name.clone();
        let Some(entry) = self.entries.get_mut(&name) else {
            let content = content_digest(&next);
            let entry = Entry {
                announcement: next,
                last_heard: heard,
                origin,
                content,
            };
            self.entries.insert(name, entry);
            return;
        };
        if now.duration_since(entry.last_heard) >= EXPIRY {
            let content = content_digest(&next);
            *entry = Entry {
                announcement: next,
                last_heard: heard,
                origin,
                content,
            };
            return;
        }
        let departing = entry.announcement.departing || next.departing;
        if next.sequence > entry.announcement.sequence {
            entry.announcement = next;
            entry.last_heard = entry.last_heard.max(heard);
            entry.origin = origin;
        } else if departing && !entry.announcement.departing {
            entry.origin = origin;
        }
        entry.announcement.departing = departing;
        entry.content = content_digest(&entry.announcement);
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| now.duration_since(entry.last_heard) < EXPIRY);
    }

    /// Iterates over the upstreams that may get new requests: live and not departing.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &Upstream> {
        self.all(now)
            .filter(|(announcement, _)| !announcement.departing)
            .map(|(announcement, _)| &announcement.upstream)
    }

    /// Iterates over the last announcements of all live upstreams, departing ones included, with their age.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Announcement, Duration)> {
        self.entries.values().filter_map(move |entry| {
            let age = now.duration_since(entry.last_heard);
            (age < EXPIRY).then_some((&entry.announcement, age))
        })
    }

    /// The last announcement of a live upstream, with its age.
    pub fn last_announcement(&self, name: &str, now: Instant) -> Option<(&Announcement, Duration)> {
        let entry = self.live_entry(name, now)?;
        Some((&entry.announcement, now.duration_since(entry.last_heard)))
    }

    /// Tells whether the named upstream may get new requests.
    pub fn is_usable(&self, name: &str, now: Instant) -> bool {
        self.live_entry(name, now)
            .is_some_and(|entry| !entry.announcement.departing)
    }

    /// Digest over the content of all live entries; peers that know the same have the same.
    pub fn digest(&self, now: Instant) -> u64 {
        self.entries
            .values()
            .filter(|entry| now.duration_since(entry.last_heard) < EXPIRY)
            .fold(0, |sum, entry| sum ^ entry.content)
    }

    /// Returns the messages due now with the ids of their receivers; to be called every 500 ms.
    pub fn messages(&mut self, now: Instant) -> Vec<(u64, Delta)> {
        self.expire(now);
        self.round += 1;
        let digest = self.digest(now);
        let targets = self.targets(now);
        let mut messages = Vec::with_capacity(targets.len());
        for id in targets {
            let Some(exchange) = self.exchanges.get_mut(&id) else {
                continue;
            };
            let other_region = exchange.region != self.region;
            let send_all = std::mem::take(&mut exchange.pull_requested);
            let mut records = Vec::new();
            let mut renewals = Vec::new();
            for (name, entry) in &self.entries {
                // Entries heard from instances of the own region are not sent to that region again, nor those
                // heard from other regions to other regions.
                let may_send = if other_region {
                    entry.origin != Origin::Remote
                } else {
                    entry.origin != Origin::Region
                };
                if !send_all && !may_send {
                    continue;
                }
                let announcement = &entry.announcement;
                let age_ms = now.duration_since(entry.last_heard).as_millis() as u64;
                let advertised = exchange.advertised.get(name).copied();
                let repeats = match advertised {
                    Some((content, _, left)) if content == entry.content => left,
                    // Equal digests show that the peer knows this entry already.
                    None if exchange.in_agreement => 0,
                    _ => CONTENT_REPEATS,
                };
                if send_all || repeats > 0 {
                    records.push(Record {
                        announcement: announcement.clone(),
                        age_ms,
                    });
                } else if advertised.is_none_or(|(_, sequence, _)| sequence < announcement.sequence)
                {
                    renewals.push(Renewal {
                        name: name.clone(),
                        sequence: announcement.sequence,
                        age_ms,
                        busy: announcement.busy,
                    });
                } else {
                    continue;
                }
                exchange.advertised.insert(
                    name.clone(),
                    (
                        entry.content,
                        announcement.sequence,
                        repeats.saturating_sub(1),
                    ),
                );
            }
            exchange
                .advertised
                .retain(|name, _| self.entries.contains_key(name));
            let echo = exchange.received.map(|(number, at)| Echo {
                number,
                held_ms: now.duration_since(at).as_millis() as u64,
            });
            let number = exchange.next_number(now);
            let pull = std::mem::take(&mut exchange.pull_wanted)
                || (!other_region && exchange.pull_until.is_some_and(|until| now < until));
            messages.push((
                id,
                Delta {
                    from: self.instance,
                    number,
                    echo,
                    records,
                    renewals,
                    digest,
                    pull,
                },
            ));
        }
        messages
    }

    /// Returns the peers that get a message in this round: every peer of the own region and, in every second
    /// round, the live peers of other regions. For a region without a live peer, the instance with the lowest
    /// id among the live ones of its own region tries one peer after the other.
    fn targets(&self, now: Instant) -> Vec<u64> {
        let is_relay = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.region == self.region && exchange.is_live(now, EXPIRY))
            .all(|(id, _)| *id > self.instance);
        let mut targets: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.region == self.region)
            .map(|(id, _)| *id)
            .collect();
        if self.round % 2 == 1 {
            return targets;
        }
        let mut regions: IndexMap<&str, Vec<(u64, bool)>> = IndexMap::new();
        for (id, exchange) in &self.exchanges {
            if exchange.region != self.region {
                regions
                    .entry(&exchange.region)
                    .or_default()
                    .push((*id, exchange.is_live(now, EXPIRY)));
            }
        }
        for mut peers in regions.into_values() {
            peers.sort_unstable();
            let reachable: Vec<u64> = peers
                .iter()
                .filter(|(_, live)| *live)
                .map(|(id, _)| *id)
                .collect();
            if !reachable.is_empty() {
                targets.extend(reachable);
            } else if is_relay {
                let index = (self.round / 2) as usize % peers.len();
                targets.push(peers[index].0);
            }
        }
        targets
    }

    /// Merges a message from a peer.
    ///
    /// Its entries are ignored if its echo doesn't bound its transit time: a message that was delayed in a
    /// stalled connection would keep a dead upstream live.
    pub fn receive(&mut self, delta: Delta, now: Instant) {
        let digest = self.digest(now);
        let Some(exchange) = self.exchanges.get_mut(&delta.from) else {
            return;
        };
        let transit_bound = delta
            .echo
            .and_then(|echo| exchange.transit_bound(echo, now));
        // A lower number is that of a late message, or of a peer that restarted. It is taken over once the last
        // one is older than `EXPIRY`.
        if exchange
            .received
            .is_none_or(|(number, at)| number < delta.number || now.duration_since(at) >= EXPIRY)
        {
            exchange.received = Some((delta.number, now));
        }
        exchange.pull_requested |= delta.pull;
        let origin = if exchange.region == self.region {
            Origin::Region
        } else {
            Origin::Remote
        };
        let Some(transit_bound) = transit_bound else {
            exchange.pull_wanted = true;
            return;
        };
        let agrees = delta.digest == digest;
        exchange.in_agreement = agrees;
        exchange.mismatches = if agrees { 0 } else { exchange.mismatches + 1 };
        if exchange.mismatches >= MISMATCHES_BEFORE_PULL {
            exchange.mismatches = 0;
            exchange.pull_wanted = true;
        }
        let received_at =
            |age_ms: u64| now.checked_sub(transit_bound + Duration::from_millis(age_ms));
        for record in delta.records {
            if let Some(at) = received_at(record.age_ms) {
                let known = self.live_entry(&record.announcement.upstream.name, now);
                // Entries of other regions pass two instances on their way and are often that old.
                let same_region = record.announcement.upstream.site.region == self.region;
                let pull_time = match known {
                    _ if !same_region => None,
                    None => Some(UNKNOWN_PULL_TIME),
                    Some(entry) => (now.duration_since(entry.last_heard) >= STALE_AGE
                        && record.announcement.sequence > entry.announcement.sequence)
                        .then_some(STALE_PULL_TIME),
                };
                if let (Some(time), Some(exchange)) =
                    (pull_time, self.exchanges.get_mut(&delta.from))
                {
                    exchange.pull_until = exchange.pull_until.max(Some(now + time));
                }
                self.merge(record.announcement, at, origin, now);
            }
        }
        for renewal in delta.renewals {
            let Some(at) = received_at(renewal.age_ms) else {
                continue;
            };
            if let Some(entry) = self.live_entry(&renewal.name, now) {
                let mut announcement = entry.announcement.clone();
                announcement.sequence = renewal.sequence;
                announcement.busy = renewal.busy;
                self.merge(announcement, at, origin, now);
            } else if let Some(exchange) = self.exchanges.get_mut(&delta.from) {
                exchange.pull_wanted = true;
            }
        }
    }
}

/// FNV-1a hash of the fields that peers must agree on. Unlike the standard hasher, it is stable between builds.
fn content_digest(announcement: &Announcement) -> u64 {
    let upstream = &announcement.upstream;
    let numbers = [
        upstream.slots.to_le_bytes(),
        upstream.connections.to_le_bytes(),
        u16::from(announcement.departing).to_le_bytes(),
    ];
    [
        upstream.name.as_bytes(),
        upstream.service.as_bytes(),
        upstream.site.region.as_bytes(),
        upstream.site.data_centre.as_bytes(),
        upstream.address.as_bytes(),
    ]
    .into_iter()
    .chain(numbers.iter().map(|pair| pair.as_slice()))
    .flat_map(|field| field.iter().copied().chain([0xff]))
    .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
