//! The file system as an interface, so that tests can inject faults.

mod disk;
mod file;
mod file_system;
mod memory;
mod real;

pub use {
    file::File,
    file_system::{FileSystem, Guard},
    memory::{Fault, Loss, Memory},
    real::Real,
};
