//! The listener for other instances against hostile input.

use {
    control::{
        follow::Follower,
        group::{Group, Setup},
        instance::{Exchange, Instance, Place, Query, Report},
        jobs,
        peers::{Handler, Peers, Reply},
        state::Command,
        worker::{Error, Link},
    },
    futures::{FutureExt, future::BoxFuture},
    indexmap::IndexMap,
    model::{
        clock::System,
        place::Site,
        worker::{Answer, Order},
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{Rng, RngExt, SeedableRng, rngs::StdRng},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::Arc,
        time::{Duration, Instant},
    },
    wire::{Update, Verdict},
};
