//! The filters that a request passes, in order: identify, place, claim, limit, queue, route, forward.

mod attempts;
mod chain;
mod claim;
mod forward;
mod headers;
mod identify;
mod keys;
mod limit;
mod place;
mod queue;
mod route;

pub(crate) use {
    chain::{Context, answer},
    identify::Ambiguous,
    keys::{Hold, Keys},
};
