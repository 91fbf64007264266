//! The controller of runs: performs the effects of the engine while this instance leads.

mod lead;
mod orders;
mod reign;

pub(crate) use lead::Input;
pub use {lead::Lead, orders::Orders, reign::Reign};
