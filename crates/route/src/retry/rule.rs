use {
    crate::faults::{Fault, injected},
    std::time::{Duration, Instant},
};

/// Upstreams that may fail with a request on them before it is given up, because the request may be what crashes them.
const MAX_LOST_ATTEMPTS: u32 = 3;

/// Progress of an attempt at the time it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No byte was sent to the upstream.
    Unsent,
    /// Some bytes were, or may have been, sent.
    Sent,
    /// Part of the answer was passed to the caller.
    Answering,
}

/// Decides whether a failed request may be sent to another upstream. `lost` is the number of its attempts that failed
/// after they had been sent.
pub fn may_resend(
    progress: Progress,
    idempotent: bool,
    lost: u32,
    deadline: Instant,
    now: Instant,
) -> bool {
    let safe = match progress {
        Progress::Unsent => true,
        Progress::Sent => idempotent || injected(Fault::RetryAfterSend),
        Progress::Answering => false,
    };
    safe && lost < MAX_LOST_ATTEMPTS && now < deadline
}

/// Decides whether a request that has run for `elapsed` may be hedged, that is, sent to a second upstream
/// as well. `usual` is the service time above which a request counts as slow; a quarter of it must be left
/// before the deadline.
pub fn may_hedge(
    idempotent: bool,
    elapsed: Duration,
    usual: Duration,
    deadline: Instant,
    now: Instant,
) -> bool {
    idempotent && elapsed > usual && now + usual / 4 < deadline
}
