//! Durable state of the groups of one instance: a checksummed log and a snapshot for each group.
//!
//! [`Folder`] is the data folder of the instance; [`Store`] is what one group keeps in it. The
//! format, the failure signs and the repair steps are described in `docs/disk.md`.

pub mod fs;

mod error;
mod folder;
mod format;
mod store;

pub use {
    error::Error,
    folder::Folder,
    store::{Contents, Entry, Snapshot, Store},
};
