use {
    super::Desk,
    route::{Action, Event, Outcome, retry::Progress},
    std::sync::Arc,
    tokio::sync::mpsc::UnboundedReceiver,
};

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
    open: bool,
}

impl Guard {
    pub(crate) fn new(desk: Arc<Desk>, attempt: u64) -> Guard {
        Guard {
            desk,
            attempt,
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
        self.end(Outcome::Stopped);
    }
}
