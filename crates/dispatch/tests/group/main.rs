//! A control group with real disks and loopback connections.

mod evacuations;
mod formation;
mod helpers;
mod routes;
mod stored;
