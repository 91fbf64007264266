use {
    crate::{body::Source, filter::Hold},
    http::{HeaderMap, Method, Uri},
    intake::budget::Reservation,
    model::request::Class,
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
};

/// One request on its way through the filters.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) account: String,
    pub(crate) class: Class,
    pub(crate) service: String,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<String>,
    pub(crate) digest: u64,
    pub(crate) body: Source,
    /// Holds the memory of a body that is kept for a second send.
    pub(crate) _memory: Option<Reservation>,
    /// The key of a claimed request.
    pub(crate) hold: OnceLock<Arc<Hold>>,
    pub(crate) traffic: Traffic,
}

impl Call {
    /// The key, if the request must be claimed under it.
    pub(crate) fn claim(&self) -> Option<&str> {
        if self.idempotent {
            None
        } else {
            self.key.as_deref()
        }
    }
}

/// Body bytes of one request, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    all: AtomicU64,
    cross_region: AtomicU64,
}

impl Traffic {
    pub(crate) fn add(&self, bytes: usize, cross_region: bool) {
        self.all.fetch_add(bytes as u64, Ordering::Relaxed);
        if cross_region {
            self.cross_region.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    pub(crate) fn totals(&self) -> (u64, u64) {
        (
            self.all.load(Ordering::Relaxed),
            self.cross_region.load(Ordering::Relaxed),
        )
    }
}
