//! Raft consensus of the control groups: one replica of a replicated log as a pure state machine.
//!
//! [`Node::step`] takes an [`Event`] and the current time and returns [`Effect`]s. The state
//! machine opens no socket or file, starts no thread and reads no clock. The code that performs the
//! effects is called the *driver*; [`Effect`], [`Event`] and [`PersistentState`] state what it must
//! guarantee. `docs/quorum.md` explains the design.

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
