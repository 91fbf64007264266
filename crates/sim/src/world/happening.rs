use {
    super::departures::Leaving,
    crate::{Arrival, Trouble},
    plan::engine::{Effect, Event, Hold, Start, Stop, Target},
    work::{id, registry::Update, upstream::NumberedReport},
};

/// An order on its way.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(Start),
    Stop(Stop),
    Hold(Hold),
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(super) enum Happening {
    Tick,
    Heartbeat,
    Arrive(Box<Arrival>),
    Commit {
        term: u64,
        proposal: u64,
        updates: Vec<Update>,
    },
    Reach {
        term: u64,
        call: u64,
        target: Target,
        order: Order,
        answered: bool,
        late: bool,
    },
    Answer {
        term: u64,
        event: Event,
    },
    /// A delayed answer of a hold is due.
    HoldDue {
        upstream: id::Upstream,
        call: u64,
    },
    /// The leader has finished a step.
    StepDone {
        term: u64,
        effects: Vec<Effect>,
    },
    Watch,
    Trouble(Trouble),
    Mend(id::Upstream),
    /// The other instances have chosen a leader.
    Elected,
    /// A frozen leader goes on.
    Thawed {
        term: u64,
    },
    /// An instance is told the open starts.
    Told {
        member: usize,
        report: NumberedReport,
    },
    /// The leader handles the message of an upstream that deregisters.
    Deregister(Leaving),
    /// An upstream that was about to leave ends.
    Departed(id::Upstream),
}

/// A hold whose answer waits for an end.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub term: u64,
    pub call: u64,
}
