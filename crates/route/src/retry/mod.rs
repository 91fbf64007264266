//! When a request may be sent again, and how many extra sends are affordable.

mod budget;
mod rule;

pub use {
    budget::Budget,
    rule::{Progress, may_hedge, may_resend},
};
