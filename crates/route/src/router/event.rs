use {
    crate::{
        member::{Delta, Peer},
        retry::Progress,
        share::Grant,
    },
    model::{config::Config, upstream::Announcement},
    std::sync::Arc,
};

/// An event that the caller of the router reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due at [`super::Router::next_tick`] at the latest.
    Tick,
    /// The configuration in force changed; none if the instance has no valid lease on one.
    Configured(Option<Arc<Config>>),
    /// The list of instances in the deployment changed; it may contain this one.
    Peers(Vec<Peer>),
    /// An upstream announced itself to this instance.
    Announced(Announcement),
    /// The upstream with this name departs.
    Departed(String),
    /// A peer sent gossip.
    Gossip(Delta),
    /// A region leader answered a report.
    Granted(Grant),
    /// The claim that [`super::Action::Claim`] asked for was granted.
    Claimed {
        /// Id of the request, from [`super::Head`].
        request: u64,
    },
    /// The first byte of an attempt is about to be sent.
    Sent {
        /// Id of the attempt, from [`super::Action::Send`].
        attempt: u64,
    },
    /// The head of an attempt's answer is about to be passed to the client.
    Answering {
        /// Id of the attempt, from [`super::Action::Send`].
        attempt: u64,
    },
    /// An attempt ended; must be reported exactly once for each [`super::Action::Send`].
    Finished {
        /// Id of the attempt, from [`super::Action::Send`].
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// The client disconnected, or was answered without the router.
    Abandoned {
        /// Id of the request, from [`super::Head`].
        request: u64,
    },
    /// The instance is shutting down: it demands slots only for the requests that it has.
    Drain,
    /// The listener is closed: no request follows those that the instance has.
    Closed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed to the client.
    Answered,
    /// The upstream failed; tells what had been sent by then.
    Failed(Progress),
    /// The attempt was stopped by [`super::Action::Cancel`] or because the client disconnected. It does not
    /// count as a failure of the upstream.
    Stopped,
    /// The attempt was given up after it was sent, without an answer or the end of its connection: the upstream may
    /// still run it. Its slot stays in use until the upstream shows that it does not.
    Unresolved,
}
