//! Room that is kept free for work that needs it soon.

mod headroom;
mod supply;

pub use {headroom::Headroom, supply::Supply};
