//! Which running work is stopped to make room for urgent work.

mod choose;
mod lost_work;
mod victim;

pub use {choose::choose_victims, lost_work::lost_work, victim::Victim};
