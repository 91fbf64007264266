//! Upstreams: the back ends that answer requests.

mod announcement;
mod upstream;

pub use {announcement::Announcement, upstream::Upstream};
