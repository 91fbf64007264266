//! Decisions of the leader about jobs of steps: what runs where, in which order, and what is stopped.
//!
//! [`engine::Engine::step`] takes an event, the replicated book and the current time, and returns effects. It
//! opens no socket and reads no clock, so every load and fault can be replayed.

pub mod engine;
pub mod headroom;
pub mod learn;
pub mod order;
pub mod place;
pub mod reclaim;
