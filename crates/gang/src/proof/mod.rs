//! Feasibility proof for the guarantees: disjoint placements, one for each guaranteed gang, that show
//! that all of them could be claimed at once.

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
