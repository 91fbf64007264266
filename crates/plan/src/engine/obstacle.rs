use std::fmt;

/// Why ready work does not start in a planning round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Obstacle {
    /// The accelerators that are free are kept for urgent work or for waiting gangs.
    Headroom,
    /// Its tasks would fit on several racks, but not on the one that they need.
    Rack,
    /// Its tasks do not fit on the upstreams that may run them.
    Room,
    /// Resources are being freed for it.
    Freeing,
    /// The work that would have to be stopped for it is worth more, or cannot be stopped.
    Preemption,
    /// The round has searched victims for as many units as it may.
    SearchLimit,
    /// A new leader has not met all upstreams and stops no work yet.
    Discovery,
    /// The round has assigned as many tasks as it may.
    RoundLimit,
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Obstacle::Headroom => "headroom",
            Obstacle::Rack => "rack",
            Obstacle::Room => "room",
            Obstacle::Freeing => "freeing",
            Obstacle::Preemption => "preemption",
            Obstacle::SearchLimit => "search_limit",
            Obstacle::Discovery => "discovery",
            Obstacle::RoundLimit => "round_limit",
        })
    }
}
