//! Preemption: which running work is stopped to free resources for urgent work.

mod choose;
mod lost_work;
mod victim;

pub use {choose::choose_victims, lost_work::lost_work, victim::Victim};
