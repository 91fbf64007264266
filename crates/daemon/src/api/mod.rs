//! The HTTP API for operators, callers of jobs, workers and upstreams.

mod answer;
mod context;
mod data_centres;
mod error;
mod front;
mod instances;
mod jobs;
mod notes;
mod place;
mod report;
mod server;
mod status;
mod upstreams;
mod workers;

pub use {
    context::Context,
    data_centres::DataCentreView,
    instances::InstanceView,
    jobs::{CancelView, JobView, WhyView},
    notes::{ForceView, NoteView},
    place::{JobPlaceView, RequestHead, RequestPlaceView},
    server::Server,
    status::{GroupView, StatusView},
    upstreams::{Members, UpstreamView},
};
