//! Metrics in the Prometheus format.

mod gauges;
mod metrics;
mod register;

pub use {metrics::Metrics, register::Register};
