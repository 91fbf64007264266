//! The consensus state machine of one replica.

mod commit;
mod election;
mod follower;
mod inflight;
mod leader_state;
mod leader_transfer;
mod node;
mod persist;
mod progress;
mod receive;
mod replicate;
mod request;
mod role;
mod snapshot_transfer;

pub use node::Node;
use {
    inflight::Inflight,
    leader_state::{LeaderState, LeaderTransfer, PendingRead},
    progress::{Mode, Progress},
    replicate::is_lost,
    role::Role,
    snapshot_transfer::IncomingSnapshot,
};
