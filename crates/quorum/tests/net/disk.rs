use {
    quorum::{Effect, Event, PersistentState},
    std::collections::VecDeque,
};

/// Disk that performs queued operations in order and keeps their results over a crash.
pub struct Disk {
    pub contents: PersistentState,
    queue: VecDeque<Effect>,
    /// Number of operations queued so far.
    issued: u64,
    /// Number of operations performed so far.
    performed: u64,
    /// Number of the last operation that later messages must wait for.
    barrier: u64,
}

impl Disk {
    pub fn new(contents: PersistentState) -> Disk {
        Disk {
            contents,
            queue: VecDeque::new(),
            issued: 0,
            performed: 0,
            barrier: 0,
        }
    }

    /// Queues an operation; returns whether the disk was idle.
    pub fn submit(&mut self, operation: Effect) -> bool {
        self.issued += 1;
        if matches!(
            &operation,
            Effect::Persist {
                hard_state: Some(_),
                ..
            } | Effect::InstallSnapshot { .. }
        ) {
            self.barrier = self.issued;
        }
        self.queue.push_back(operation);
        self.queue.len() == 1
    }

    /// Number of the operation that a message sent now must wait for; `None` if it is performed.
    pub fn pending_barrier(&self) -> Option<u64> {
        (self.barrier > self.performed).then_some(self.barrier)
    }

    pub fn performed(&self) -> u64 {
        self.performed
    }

    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Performs the oldest operation; returns the event that reports it.
    pub fn perform(&mut self) -> Option<Event> {
        let operation = self.queue.pop_front()?;
        self.performed += 1;
        match operation {
            Effect::Persist {
                hard_state,
                truncate,
                entries,
            } => {
                self.contents.hard = hard_state.unwrap_or(self.contents.hard);
                if let Some(index) = truncate {
                    self.contents.entries.retain(|entry| entry.index < index);
                }
                let last = entries.last().map(|entry| entry.index);
                self.contents.entries.extend(entries);
                last.map(|index| Event::Synced { index })
            }
            Effect::InstallSnapshot { snapshot } => {
                let index = snapshot.index;
                self.contents.entries.clear();
                self.contents.snapshot = Some(snapshot);
                Some(Event::Synced { index })
            }
            Effect::SaveSnapshot { snapshot } => {
                self.contents
                    .entries
                    .retain(|entry| entry.index > snapshot.index);
                self.contents.snapshot = Some(snapshot);
                None
            }
            _ => None,
        }
    }

    /// Loses the queued operations except the first `kept`, which reach the disk but are not
    /// reported.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept.min(self.queue.len()) {
            self.perform();
        }
        *self = Disk::new(std::mem::take(&mut self.contents));
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
