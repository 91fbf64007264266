//! The file system as an interface, so that tests can inject faults.

mod file;
mod file_system;
mod real;

pub use {
    file::File,
    file_system::{FileSystem, Guard},
    real::Real,
};
