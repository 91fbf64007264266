//! Gang scheduler for a group of sites: decides where queued jobs run and which running jobs are
//! reclaimed for them.
//!
//! [`Scheduler`] does no I/O, reads no clock and starts no thread. The controller reports events with
//! [`Scheduler::observe`], asks for proposals with [`Scheduler::decide`], and reports each proposal as
//! committed ([`Event::JobChanged`]) or rejected ([`Event::ProposalRejected`]).

mod decision;
mod event;
mod fault;
mod fleet;
mod preview;
mod proof;
mod reclaim;
mod record;
mod scheduler;
mod settings;
mod shortfall;

#[cfg(feature = "faults")]
pub use fault::Fault;
pub use {
    decision::{Decision, Reason},
    event::Event,
    preview::Preview,
    proof::GuaranteedPlacement,
    scheduler::Scheduler,
    settings::Settings,
    shortfall::{Cause, Shortfall},
};
