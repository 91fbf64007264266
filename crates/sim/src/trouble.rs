use work::id;

/// Shares of orders that go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Orders that never arrive.
    pub lost: f64,
    /// Orders that are carried out and not answered.
    pub unanswered: f64,
    /// Orders that are not answered and carried out seconds later.
    pub late: f64,
}

/// What becomes of the message with which an upstream deregisters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Farewell {
    /// It is acknowledged, and the upstream ends.
    Answered,
    /// It arrives and is not acknowledged. The upstream runs on for a while.
    Unanswered,
    /// It never arrives. The upstream runs on for a while.
    Lost,
}

/// An event of the day.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// The leader is replaced; its orders and proposals on the way still arrive.
    NewLeader,
    /// The leader stands still for this many milliseconds as soon as it has decided on a start, and another one takes over.
    /// Then it sends what it had decided, and goes on for this many milliseconds as if it led.
    FrozenLeader(u64, u64),
    /// The leader is cut off from the other instances and another one takes over, which cannot reach these upstreams. The
    /// earlier one goes on for this many milliseconds as if it led.
    IsolatedLeader(u64, Vec<id::Upstream>),
    /// All instances are killed at once; the next leader inherits nothing.
    AllKilled,
    /// An upstream crashes and starts again with nothing.
    Reborn(id::Upstream),
    /// An upstream cannot be reached for this many milliseconds, and runs on.
    Cut(id::Upstream, u64),
    /// An upstream fails all that it starts, for this many milliseconds.
    Failing(id::Upstream, u64),
    /// Tasks on an upstream stand still, for this many milliseconds.
    Hanging(id::Upstream, u64),
    /// Tasks on an upstream take this many times as long.
    Slow(id::Upstream, f64),
    /// An upstream says that it is slow after its start, for this many milliseconds, and takes this many times as long.
    Cold(id::Upstream, f64, u64),
    /// An upstream drains.
    Draining(id::Upstream),
    /// An upstream tells that it leaves after this many milliseconds, and is gone then.
    Leaving(id::Upstream, u64),
    /// An upstream tells that it leaves, and deregisters after this many milliseconds. Without an acknowledgement it ends
    /// after the last number of milliseconds.
    Departing(id::Upstream, u64, Farewell, u64),
    /// An upstream is gone for good.
    Gone(id::Upstream),
    /// An operator evacuates a data centre.
    Evacuate(String),
    /// An operator takes a data centre back.
    Readmit(String),
    /// A caller cancels its job.
    Cancel(id::Job),
}
