//! Job rows of the target table: seeded arrivals on a virtual clock, decided by the gang scheduler and
//! by two baselines.
//!
//! This drives decisions. Commits, starts and checkpoints take fixed times; nothing else of the
//! cluster is modelled.

mod baseline;
mod bound;
mod floor;
mod load;
mod options;
mod ours;
mod outcome;
mod report;
mod run;
mod site;

pub use {
    options::Options,
    report::{Report, Row},
    run::run,
};
