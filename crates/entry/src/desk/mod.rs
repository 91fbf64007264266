//! The router shared between connections, and the delivery of its actions to requests.

mod desk;
mod ticket;

pub use desk::Desk;
pub(crate) use ticket::{Guard, Ticket};
