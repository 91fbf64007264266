//! Release notes: one document that lists what is added, changed and withdrawn.

mod change;
mod note;
mod outcome;
mod submission;
mod withdrawal;

pub use {
    change::Change, note::Note, outcome::Outcome, submission::Submission, withdrawal::Withdrawal,
};
