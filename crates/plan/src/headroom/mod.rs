//! Accelerators that are kept free for urgent work and for waiting gangs.

mod headroom;
mod supply;

pub use {headroom::Headroom, supply::Supply};
