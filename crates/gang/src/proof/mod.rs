//! The proof that every guaranteed shape can be claimed: a set of disjoint places, one for each.

mod cover;
mod guaranteed_placement;
mod matching;
mod pinned;
mod proof;
mod prove;

pub use {
    cover::{closest_adjacency, covers, is_whole, with_tighter_adjacency},
    guaranteed_placement::GuaranteedPlacement,
    matching::{Candidate, assign},
    pinned::{Covered, Pinned},
    proof::{GuaranteeId, Placement, Proof},
    prove::{Prover, adds_shortfall},
};
