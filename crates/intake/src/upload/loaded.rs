use {
    super::Fault,
    crate::{
        budget::Reservation,
        meter::{Meter, Reason},
    },
    std::{sync::Arc, time::Instant},
};

/// A complete body in one piece, with the memory that it holds.
pub struct Loaded {
    bytes: Vec<u8>,
    reservation: Reservation,
    meter: Arc<Meter>,
}

impl Loaded {
    pub(super) fn new(bytes: Vec<u8>, reservation: Reservation, meter: Arc<Meter>) -> Loaded {
        Loaded {
            bytes,
            reservation,
            meter,
        }
    }

    /// The body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The body and its memory, which must be kept as long as the body.
    pub fn into_parts(self) -> (Vec<u8>, Reservation) {
        (self.bytes, self.reservation)
    }

    /// Gives up the body and reserves memory for `copies` times its size, for what was made of it. The memory must be
    /// kept until that is gone.
    pub fn decoded(self, copies: usize) -> Result<Reservation, Fault> {
        let extra = self.bytes.len() * copies.saturating_sub(1);
        if self.reservation.grow(extra, Instant::now()) {
            Ok(self.reservation)
        } else {
            self.meter.note(Reason::BodyMemory);
            Err(Fault::Full)
        }
    }
}
