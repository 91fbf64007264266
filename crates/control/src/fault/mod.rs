//! Planted faults that show that the tests find them; only with the feature `faults`.

mod fault;

pub(crate) use fault::is;
pub use fault::{Fault, plant};
