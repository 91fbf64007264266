//! The gang protocol on a virtual clock, with a single replica as the log and stand-in workers behind a
//! link that loses, delays and refuses.

mod link;
mod scenarios;
mod world;
