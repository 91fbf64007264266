use {
    super::{Admission, Connection, Signal, Table},
    crate::meter::{Meter, Reason},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Instant,
    },
    tokio::sync::Notify,
};

/// Connections of one listener. Clones share them.
#[derive(Clone)]
pub struct Connections {
    table: Arc<Mutex<Table<Arc<Signal>>>>,
    sockets: Arc<Sockets>,
    meter: Arc<Meter>,
}

/// Sockets that are open, those included that were told to close.
#[derive(Default)]
struct Sockets {
    open: AtomicUsize,
    closed: Notify,
}

impl Connections {
    /// At most `limit` open connections.
    pub fn new(limit: usize, meter: Arc<Meter>) -> Connections {
        Connections {
            table: Arc::new(Mutex::new(Table::new(limit))),
            sockets: Arc::default(),
            meter,
        }
    }

    /// Enters a new connection, closing another one if need be, and waits until that is closed. Returns none if the new
    /// one is to be refused.
    pub async fn open(&self) -> Option<Arc<Connection>> {
        let signal = Arc::new(Signal::default());
        let admission = self.table().admit(signal.clone(), Instant::now());
        let id = match admission {
            Admission::Open(id) => id,
            Admission::Replaced(id, closed) => {
                closed.close.notify_one();
                self.meter.note(Reason::ConnectionClosed);
                self.wait_for_room().await;
                id
            }
            Admission::Full => {
                self.meter.note(Reason::ConnectionRefused);
                return None;
            }
        };
        Some(Arc::new(Connection::new(id, self.clone(), signal)))
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.table().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table().is_empty()
    }

    /// Waits until fewer sockets than connections are open. The new connection is in the table already.
    async fn wait_for_room(&self) {
        loop {
            let closed = self.sockets.closed.notified();
            if self.sockets.open.load(Ordering::Acquire) < self.len() {
                return;
            }
            closed.await;
        }
    }

    pub(super) fn note_opened(&self) {
        self.meter.connections.inc();
        self.sockets.open.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn note_closed(&self) {
        self.meter.connections.dec();
        self.sockets.open.fetch_sub(1, Ordering::AcqRel);
        self.sockets.closed.notify_one();
    }

    pub(super) fn table(&self) -> MutexGuard<'_, Table<Arc<Signal>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
