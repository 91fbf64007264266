//! The proof that every guaranteed shape can be claimed: a set of disjoint places, one for each.

mod cover;
mod firm;
mod matching;
mod proof;
mod prove;

pub use {
    cover::{covers, is_whole, spread, tightened},
    firm::{Counted, Firm},
    matching::{Candidate, assign},
    proof::{Proof, Proved, Set, Slot},
    prove::{Prover, worse},
};
