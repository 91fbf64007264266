//! Open connections, and which of them is closed when there are too many.

mod connection;
mod connections;
mod signal;
mod stage;
mod table;

pub use {
    connection::Connection,
    connections::Connections,
    signal::Signal,
    stage::Stage,
    table::{Admission, Table},
};
