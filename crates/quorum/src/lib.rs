//! Consensus core of the control groups: one replica of one replicated log as a pure state machine.
//!
//! [`Node::step`] takes an [`Event`] and the current time and returns [`Effect`]s. The core opens no
//! socket or file, starts no thread and reads no clock. `docs/quorum.md` explains the design; the
//! obligations of the code that performs the effects (the *driver*) are stated on [`Effect`],
//! [`Event`] and [`PersistentState`].

pub mod entry;
pub mod event;
mod log;
pub mod member;
pub mod message;
pub mod node;
pub mod settings;
pub mod storage;

#[cfg(feature = "faults")]
pub use settings::Fault;
pub use {
    entry::{Entry, Payload},
    event::{Effect, Event, Outcome},
    member::{Change, Member, Members, Refusal, recover_lost_quorum},
    message::{Body, Message},
    node::Node,
    settings::Settings,
    storage::{HardState, PersistentState, Snapshot},
};
