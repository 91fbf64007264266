//! Seeded experiments that print the target table.

pub mod jobs;
