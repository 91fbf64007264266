//! Accelerators that are kept free for urgent work and for waiting gangs.

mod collection;
mod headroom;
mod reservation;
mod supply;

pub use {collection::collect, headroom::Headroom, reservation::set_aside, supply::Supply};
