//! Connects the request path to the instance: configuration, claims, messages, membership and records.

mod claims;
mod exchange;
mod levels;
mod members;
mod observer;
mod slot;

pub use {
    claims::Claims, exchange::Exchange, levels::Levels, members::Members, observer::Observer,
    slot::Slot,
};
