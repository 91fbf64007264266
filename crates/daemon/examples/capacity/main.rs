//! Measures what a deployment of real processes costs and carries, on loopback:
//! `cargo run --release -p daemon --example capacity -- [which ...]`, after `cargo build --release -p daemon`.

mod client;
mod cluster;
mod cost;
mod force;
mod gangs;
mod load;
mod recovery;
mod sample;
mod stats;

use std::{error::Error, process::ExitCode};

/// Any failure of a measurement ends the program.
type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

const NAMES: [&str; 14] = [
    "notes",
    "jobs",
    "claims",
    "pace",
    "burst",
    "restart-1000",
    "restart-100000",
    "election",
    "idle",
    "workers",
    "upstreams",
    "gangs",
    "urgent",
    "accounts",
];

#[tokio::main]
async fn main() -> ExitCode {
    let mut names: Vec<String> = std::env::args().skip(1).collect();
    if names.is_empty() {
        names = NAMES.iter().map(|name| (*name).to_owned()).collect();
    }
    for name in names {
        println!("# {name}; load average at start: {}", stats::load());
        if let Err(error) = run(&name).await {
            eprintln!("{name}: {error}");
            return ExitCode::FAILURE;
        }
        println!("# {name}; load average at end: {}", stats::load());
    }
    ExitCode::SUCCESS
}

async fn run(name: &str) -> Result<()> {
    match name {
        "notes" => load::notes().await,
        "jobs" => load::jobs().await,
        "claims" => load::claims().await,
        "pace" => force::pace().await,
        "burst" => force::burst().await,
        "election" => recovery::election().await,
        "idle" => cost::idle().await,
        "workers" => cost::workers().await,
        "upstreams" => cost::upstreams().await,
        "accounts" => cost::accounts().await,
        "gangs" => gangs::running().await,
        "urgent" => gangs::urgent().await,
        _ if name.starts_with("restart-") => recovery::restart(name[8..].parse()?).await,
        _ => Err(format!("unknown measurement; choose from {NAMES:?}").into()),
    }
}
