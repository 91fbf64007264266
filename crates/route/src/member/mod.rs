//! Membership of the upstreams: their announcements, gossip between instances, expiry and departure.

mod delta;
mod members;
mod peer;

pub use {
    delta::{Delta, Echo, Record, Renewal},
    members::{EXPIRY, Members},
    peer::Peer,
};
