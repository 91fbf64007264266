//! When a request may be sent again, and the budget of extra sends.

mod budget;
mod rule;

pub use {
    budget::Budget,
    rule::{Progress, may_hedge, may_resend},
};
