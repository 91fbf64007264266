//! A control group with real disks and loopback connections.

mod departure;
mod evacuations;
mod formation;
mod helpers;
mod routes;
mod stored;
