//! The bytes of the files. Integers are little-endian.

pub mod frame;
mod header;
mod reader;
mod record;

pub use {
    header::{HEADER_BYTES, Header, Kind, VERSION, incarnation as header_incarnation},
    reader::Reader,
    record::Record,
};
