//! Upstreams that crash, that cannot be reached, on which tasks fail, whose capacity changes or that have many ends to
//! list, and gangs that have lost a member.

mod capacity;
mod cluster;
mod crash;
mod cut;
mod ends;
mod failure;
mod gang;
mod long;
mod node;
mod waiting;
mod work_load;
