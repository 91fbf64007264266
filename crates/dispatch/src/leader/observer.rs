use {
    plan::engine::{FleetReport, Leftover, LoadReport},
    std::time::Duration,
};

/// Receiver of the times that the leader's work takes.
pub trait Observer: Send + Sync {
    /// A step of the engine took `took`; the oldest event that it handled had waited for `event_age`.
    fn record_step(&self, took: Duration, event_age: Duration);

    /// A proposal had an outcome after `took`.
    fn record_proposal(&self, took: Duration);

    /// What is left in the evacuated data centres, once a second; empty if this instance does not lead.
    fn record_leftovers(&self, _leftovers: &[Leftover]) {}

    /// Speeds of the fleet and starts of urgent work, once a second; the default if this instance does not lead.
    fn record_fleet(&self, _report: &FleetReport) {}

    /// Room, waiting work and stopped runs, once a second; the default if this instance does not lead.
    fn record_load(&self, _report: &LoadReport) {}
}
