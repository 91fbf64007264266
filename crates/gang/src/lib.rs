//! Gang scheduling for one group of sites: which queued job runs where, and what is stopped for it.
//!
//! [`Scheduler`] is pure decision code. The controller reports what happened with
//! [`Scheduler::observe`], asks for proposals with [`Scheduler::decide`], and reports each proposal as
//! committed ([`Event::JobChanged`]) or refused ([`Event::ProposalRejected`]). Nothing here reads a clock,
//! opens a socket or a file, or starts a thread.

mod decision;
mod event;
mod fault;
mod fleet;
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
    proof::GuaranteedPlacement,
    scheduler::Scheduler,
    settings::Settings,
    shortfall::{Cause, Shortfall},
};
