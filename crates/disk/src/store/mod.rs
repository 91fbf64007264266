//! What one group keeps in the data folder.

mod active;
mod bounds;
mod claim;
mod contents;
mod created;
mod files;
mod loaded;
mod replay;
mod reserve;
mod segment;
mod snapshot;
mod store;
mod terms;

pub use {
    contents::{Contents, Entry, Snapshot},
    store::Store,
};
