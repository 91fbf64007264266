use {
    super::{Connections, Signal, Stage},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        time::Instant,
    },
};

/// An open connection; it is forgotten when this is dropped.
pub struct Connection {
    id: u64,
    stage: AtomicU8,
    connections: Connections,
    signal: Arc<Signal>,
}

impl Connection {
    pub(super) fn new(id: u64, connections: Connections, signal: Arc<Signal>) -> Connection {
        connections.note_opened();
        Connection {
            id,
            stage: AtomicU8::new(Stage::Idle as u8),
            connections,
            signal,
        }
    }

    /// What the connection is doing.
    pub fn stage(&self) -> Stage {
        Stage::from_u8(self.stage.load(Ordering::Relaxed))
    }

    /// Notes what the connection is doing.
    pub fn set(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
        self.connections.table().set(self.id, stage, Instant::now());
    }

    /// Returns when the connection must be closed to make room.
    pub async fn closed(&self) {
        self.signal.close.notified().await;
    }

    pub(crate) fn signal(&self) -> &Arc<Signal> {
        &self.signal
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.table().remove(self.id);
        self.connections.note_closed();
    }
}
