use {crate::fleet::Allocation, std::time::Instant};

/// Why accelerators are booked for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The job claims the named guarantee; reclaims of the victims were proposed.
    Claim(String),
    /// The job counts against no guarantee; reclaims of the victims were proposed.
    Preemption,
    /// The job has waited too long and waits for the running jobs to end. Preemptible jobs may be
    /// backfilled until then.
    Reservation,
}

/// Accelerators set aside for a queued job that are not all free yet.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Why it was made.
    pub kind: Kind,
    /// One allocation for each task.
    pub allocations: Vec<Allocation>,
    /// Jobs that are reclaimed for it.
    pub victims: Vec<u64>,
    /// When it was made.
    pub since: Instant,
}

impl Booking {
    /// Tells whether preemptible jobs may still be backfilled.
    pub fn is_reservation(&self) -> bool {
        self.kind == Kind::Reservation
    }
}
