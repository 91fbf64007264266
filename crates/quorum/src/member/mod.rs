//! Group membership.

mod change;
mod member;
mod members;
mod recover;
mod refusal;

pub use {
    change::Change, member::Member, members::Members, recover::recover_lost_quorum,
    refusal::Refusal,
};
