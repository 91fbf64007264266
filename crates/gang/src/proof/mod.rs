//! The proof that every guaranteed shape can be claimed: a set of disjoint places, one for each.

mod cover;
mod firm;
mod guaranteed_placement;
mod matching;
mod proof;
mod prove;

pub use {
    cover::{covers, is_whole, spread, tightened},
    firm::{Counted, Firm},
    guaranteed_placement::GuaranteedPlacement,
    matching::{Candidate, assign},
    proof::{Proof, Set, Slot},
    prove::{Prover, worse},
};
