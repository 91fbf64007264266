use {
    super::Desk,
    route::{Action, Event, Outcome, retry::Progress},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Age beyond which a decision to send is not carried out. Connecting to an upstream takes a round trip; a router
/// decides again in less than a millisecond.
const MAX_DECISION_AGE: Duration = Duration::from_millis(700);

/// A request's place at the desk; dropping it tells the router that the request is gone.
pub(crate) struct Ticket {
    desk: Arc<Desk>,
    pub(crate) request: u64,
    inbox: UnboundedReceiver<Action>,
}

impl Ticket {
    pub(super) fn new(desk: Arc<Desk>, request: u64, inbox: UnboundedReceiver<Action>) -> Ticket {
        Ticket {
            desk,
            request,
            inbox,
        }
    }

    /// The next action, if one is there already.
    pub(crate) fn try_next(&mut self) -> Option<Action> {
        self.inbox.try_recv().ok()
    }

    /// Waits for the next action.
    pub(crate) async fn next(&mut self) -> Option<Action> {
        self.inbox.recv().await
    }

    /// Tells the router that the claim was granted.
    pub(crate) fn claimed(&self) {
        self.desk.observe(Event::Claimed {
            request: self.request,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.desk.close(self.request);
        self.inbox.close();
        while let Ok(action) = self.inbox.try_recv() {
            if let Action::Send { attempt, .. } = action {
                drop(Guard::new(self.desk.clone(), attempt));
            }
        }
    }
}

/// An attempt in progress; reports its end exactly once, also when dropped.
pub(crate) struct Guard {
    desk: Arc<Desk>,
    attempt: u64,
    progress: Progress,
    decided: Instant,
    open: bool,
}

impl Guard {
    pub(crate) fn new(desk: Arc<Desk>, attempt: u64) -> Guard {
        let decided = desk.take_decision(attempt);
        Guard {
            desk,
            attempt,
            decided,
            progress: Progress::Unsent,
            open: true,
        }
    }

    /// Text that marks this attempt on the wire.
    pub(crate) fn id(&self) -> String {
        format!("{:x}-{}", self.desk.boot(), self.attempt)
    }

    /// How far the attempt came.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }

    /// Whether the decision is too old to act on. What it rests on, such as the last sign of life of the upstream,
    /// may have changed while this process was suspended.
    pub(crate) fn is_outdated(&self) -> bool {
        let now = self.desk.clock().now();
        now.saturating_duration_since(self.decided) > MAX_DECISION_AGE
    }

    /// To be called immediately before the first byte may leave.
    pub(crate) fn sent(&mut self) {
        self.progress = Progress::Sent;
        self.desk.observe(Event::Sent {
            attempt: self.attempt,
        });
    }

    /// To be called before the head of the answer is passed on.
    pub(crate) fn answering(&mut self) {
        self.progress = Progress::Answering;
        self.desk.observe(Event::Answering {
            attempt: self.attempt,
        });
    }

    /// The whole answer was passed on.
    pub(crate) fn answered(&mut self) {
        self.end(Outcome::Answered);
    }

    /// The attempt was stopped, and the upstream does not run it any more.
    pub(crate) fn stopped(&mut self) {
        self.end(Outcome::Stopped);
    }

    /// The upstream failed.
    pub(crate) fn failed(&mut self) {
        self.end(Outcome::Failed(self.progress));
    }

    fn end(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.open) {
            self.desk.observe(Event::Finished {
                attempt: self.attempt,
                outcome,
            });
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // Without an answer or the end of the connection, nothing tells whether the upstream runs the request.
        let outcome = match self.progress {
            Progress::Sent => Outcome::Unresolved,
            _ => Outcome::Stopped,
        };
        self.end(outcome);
    }
}
