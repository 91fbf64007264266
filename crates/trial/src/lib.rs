//! Seeded experiments on a virtual clock.

pub mod requests;
