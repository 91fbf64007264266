//! Plays the cases of this review as scripts: starts the project's programs as separate processes on loopback
//! addresses, plays minions, clients and the operator against them on the real clock, and judges what these have seen.
//!
//! Usage: scene CASE BINARY RECORD. `TROUBLE=0` leaves the disruption out.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod http;
mod json;
mod judge;
mod minion;
mod record;
mod scene;
mod system;

use std::{process, thread};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, binary, record] = arguments.as_slice() else {
        eprintln!("usage: scene CASE BINARY RECORD");
        process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(system::TIME_LIMIT);
        for pid in system::RUNNING.lock().unwrap().iter() {
            system::signal(*pid, "-KILL");
        }
        eprintln!(
            "cannot run: not over within {} s",
            system::TIME_LIMIT.as_secs()
        );
        process::exit(2);
    });
    process::exit(cases::play(case, binary, record));
}
