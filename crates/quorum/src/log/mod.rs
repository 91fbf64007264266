//! In-memory part of the replicated log.

mod log;

pub(crate) use log::Log;
