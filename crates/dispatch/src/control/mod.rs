//! A running control instance: its requests, replica and group membership.

mod answer;
mod control;
mod error;
mod evacuation;
mod final_ends;
mod handler;
mod handover;
mod membership;
mod replica;
mod setup;

pub use {control::Control, error::Error, final_ends::FinalEnds, replica::Replica, setup::Setup};
