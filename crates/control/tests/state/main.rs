//! The replicated state against a simple oracle, with snapshots in between.

mod checks;
mod oracle;
