//! Which running work is stopped to make room for urgent work.

mod choose;
mod victim;

pub use {choose::choose, victim::Victim};
