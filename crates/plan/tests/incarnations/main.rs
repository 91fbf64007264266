//! Calls to an earlier incarnation of an upstream that are carried out late, by the next one under the same id, and runs on
//! upstreams that leave.

#[path = "../leader/mod.rs"]
mod leader;

mod departure;
mod ended;
mod leases;
mod scene;
mod starts;
