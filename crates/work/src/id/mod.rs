//! Identifiers of jobs, tasks and upstreams.

mod error;
mod job;
mod task;
mod upstream;

pub use {error::Error, job::Job, task::Task, upstream::Upstream};
