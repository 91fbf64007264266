use {crate::fleet::Allocation, std::time::Instant};

/// Why a place is kept for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Claim on the named guarantee; the holders were asked to stop.
    Claim(String),
    /// The holders were asked to stop for a job beyond the guarantees.
    Preemption,
    /// The job starves; it waits for the holders to end. Stoppable work may run here meanwhile.
    Reservation,
}

/// A place kept for a queued job until its holders have gone.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Why it is kept.
    pub kind: Kind,
    /// The place.
    pub allocations: Vec<Allocation>,
    /// Jobs that were asked to stop for it.
    pub victims: Vec<u64>,
    /// When the booking was made.
    pub since: Instant,
}

impl Booking {
    /// Tells whether other work may run on the place for now.
    pub fn is_reservation(&self) -> bool {
        self.kind == Kind::Reservation
    }
}
