use {super::Budget, std::time::Instant};

/// Part of a [`Budget`]; dropping it returns the memory.
pub struct Reservation {
    id: u64,
    budget: Budget,
}

impl Reservation {
    pub(super) fn new(id: u64, budget: Budget) -> Reservation {
        Reservation { id, budget }
    }

    /// Reserves more. Returns false if there is no room, or if this reservation has been cut.
    #[must_use]
    pub fn grow(&self, bytes: usize, now: Instant) -> bool {
        let mut ledger = self.budget.ledger();
        let outcome = ledger.grow(self.id, bytes, now);
        self.budget.report(ledger.used());
        drop(ledger);
        self.budget.settle(outcome)
    }

    pub(crate) fn progress(&self, now: Instant) -> bool {
        self.budget.ledger().progress(self.id, now)
    }

    pub(crate) fn fragment(&self) -> bool {
        let outcome = self.budget.ledger().fragment(self.id);
        self.budget.settle(outcome)
    }

    pub(crate) fn settle(&self) -> bool {
        self.budget.ledger().settle(self.id)
    }

    pub(crate) fn is_cut(&self) -> bool {
        !self.budget.ledger().contains(self.id)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut ledger = self.budget.ledger();
        ledger.release(self.id);
        self.budget.report(ledger.used());
    }
}
