//! Messages between instances: the capnp schema's generated code and its conversions to plain types.

/// Code generated from `schema/peer.capnp`.
#[path = "generated/peer_capnp.rs"]
#[allow(missing_docs, unused_qualifications, clippy::all)]
pub mod peer_capnp;

mod update;
mod verdict;

pub use {update::Update, verdict::Verdict};
