//! Scheduling decisions of the leader: which task runs where, in which order, and which runs are stopped.
//!
//! [`engine::Engine::step`] takes events, the replicated registry and the current time, and returns effects. It does no
//! I/O and reads no clock, so every load and fault can be replayed.

pub mod engine;
pub mod headroom;
pub mod learn;
pub mod order;
pub mod place;
pub mod reclaim;
