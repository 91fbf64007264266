//! Accelerators that are kept free for urgent work and for waiting gangs.

mod headroom;
mod reservation;
mod supply;

pub use {headroom::Headroom, reservation::set_aside, supply::Supply};
