//! In-memory copy of the replicated log.

mod log;

pub(crate) use log::Log;
