//! The scheduling engine of the leader: the state of upstreams and runs, and the orders that follow from it.

mod addresses;
mod advice;
mod avoidance;
mod cold;
mod crash;
mod drain;
mod effect;
mod effort;
mod engine;
mod evacuation;
mod event;
mod expiry;
mod faster_places;
mod first_runs;
mod fleet_report;
mod gang;
mod hold;
mod lasting;
mod load_report;
mod obstacle;
mod open_starts;
mod pace;
mod planning;
mod preemption;
mod proposed;
mod reservations;
mod round;
mod round_lines;
mod runs;
mod session;
mod settings;
mod stalls;
mod start_handover;
mod sync;
mod tracked_run;
mod unexplained_losses;
mod usage;

pub use {
    drain::Drain,
    effect::{Effect, Hold, MAX_TOKEN_OFFSET, Start, Stop, Target},
    effort::Effort,
    engine::Engine,
    evacuation::{Evacuation, Leftover},
    event::{Event, Failure, Listing, Refusal, Running},
    fleet_report::FleetReport,
    load_report::{LoadReport, WAITING_CLASSES},
    settings::Settings,
};
