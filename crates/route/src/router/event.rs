use {
    crate::{
        member::{Delta, Peer},
        retry::Progress,
        share::Grant,
    },
    model::{config::Config, upstream::Announcement},
    std::sync::Arc,
};

/// Something that happened outside of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due at [`super::Router::next_tick`].
    Tick,
    /// The configuration in force, or none without a valid lease.
    Configured(Option<Arc<Config>>),
    /// The other instances of the deployment.
    Peers(Vec<Peer>),
    /// An upstream announced itself to this instance.
    Announced(Announcement),
    /// An upstream announced its departure.
    Departed(String),
    /// A peer sent gossip.
    Gossip(Delta),
    /// A region leader answered a report.
    Granted(Grant),
    /// The claim that [`super::Action::Claim`] asked for was granted.
    Claimed {
        /// The request.
        request: u64,
    },
    /// The first byte of an attempt is about to be sent.
    Sent {
        /// The attempt.
        attempt: u64,
    },
    /// The head of an attempt's answer is about to be passed to the caller.
    Answering {
        /// The attempt.
        attempt: u64,
    },
    /// An attempt ended. Reported exactly once for each [`super::Action::Send`].
    Finished {
        /// The attempt.
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller is gone, or was answered without the router.
    Abandoned {
        /// The request.
        request: u64,
    },
    /// The instance shuts down: it wants no shares beyond the requests that it has.
    Drain,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed to the caller.
    Answered,
    /// The upstream failed.
    Failed(Progress),
    /// Stopped because of [`super::Action::Cancel`] or the caller; says nothing about the upstream.
    Stopped,
}
