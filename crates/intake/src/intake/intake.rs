use {
    super::answer::Answer,
    crate::{
        Connection, Limits, Meter,
        budget::{Budget, Kind},
    },
    bytes::Bytes,
    std::{sync::Arc, time::Instant},
    tokio::sync::Semaphore,
};

/// Largest answer in bytes that needs no reservation, since each connection has memory for it.
const SMALL_ANSWER_BYTES: usize = 8 << 10;

/// Limits of a process and what its clients use of them.
pub struct Intake {
    /// The limits.
    pub limits: Limits,
    /// Memory for request bodies.
    pub bodies: Budget,
    /// Memory for answers.
    pub answers: Budget,
    /// Counters.
    pub meter: Arc<Meter>,
    /// Receive buffers of the larger size.
    pub(crate) large_buffers: Arc<Semaphore>,
}

impl Intake {
    /// Nothing is used yet.
    pub fn new(limits: Limits, meter: Arc<Meter>) -> Intake {
        let bodies = Budget::new(
            Kind::Bodies,
            limits.body_memory,
            limits.fragmented_bodies,
            meter.clone(),
        );
        let answers = Budget::new(Kind::Answers, limits.answer_memory, 0, meter.clone());
        let large_buffers = Arc::new(Semaphore::new(
            limits.large_buffers.min(Semaphore::MAX_PERMITS),
        ));
        Intake {
            limits,
            large_buffers,
            bodies,
            answers,
            meter,
        }
    }

    /// Reserves memory for an answer until it has been written. Returns none if there is no room for it.
    pub fn hold_answer(&self, bytes: Bytes, connection: &Connection) -> Option<Bytes> {
        if bytes.len() <= SMALL_ANSWER_BYTES {
            return Some(bytes);
        }
        let reservation = self.answers.open(connection.signal());
        let granted = reservation.grow(bytes.len(), Instant::now());
        granted.then(|| {
            Bytes::from_owner(Answer {
                bytes,
                _reservation: reservation,
            })
        })
    }
}
