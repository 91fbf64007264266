use {
    bytes::Bytes,
    hyper::body::Incoming,
    std::sync::{
        Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
};

/// Why a request body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The caller went away, went silent or sent a malformed body.
    Caller,
    /// The body exceeds the bound.
    TooLarge,
}

/// Where the body of a request comes from.
#[derive(Debug)]
pub(crate) enum Source {
    /// Read already; can be sent again.
    Kept(Bytes),
    /// Still arriving; can be sent once.
    Arriving {
        body: Mutex<Option<Incoming>>,
        fault: AtomicU8,
    },
}

impl Source {
    pub(crate) fn arriving(body: Incoming) -> Source {
        Source::Arriving {
            body: Mutex::new(Some(body)),
            fault: AtomicU8::new(0),
        }
    }

    pub(crate) fn is_kept(&self) -> bool {
        matches!(self, Source::Kept(_))
    }

    pub(super) fn take(&self) -> Option<Incoming> {
        match self {
            Source::Kept(_) => None,
            Source::Arriving { body, .. } => {
                body.lock().unwrap_or_else(PoisonError::into_inner).take()
            }
        }
    }

    pub(super) fn set_fault(&self, next: Fault) {
        if let Source::Arriving { fault, .. } = self {
            let code = match next {
                Fault::Caller => 1,
                Fault::TooLarge => 2,
            };
            fault.store(code, Ordering::Release);
        }
    }

    /// Why reading stopped early, if it did.
    pub(crate) fn fault(&self) -> Option<Fault> {
        match self {
            Source::Kept(_) => None,
            Source::Arriving { fault, .. } => match fault.load(Ordering::Acquire) {
                1 => Some(Fault::Caller),
                2 => Some(Fault::TooLarge),
                _ => None,
            },
        }
    }
}
