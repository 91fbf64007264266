//! Which running work is stopped to make room for urgent work.

mod choose;
mod loss;
mod victim;

pub use {choose::choose, loss::loss, victim::Victim};
