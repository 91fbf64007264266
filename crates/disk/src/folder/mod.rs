//! The data folder of an instance.

mod folder;

pub use folder::Folder;
pub(crate) use folder::Shared;
