/// Order in which ready work is considered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// By guarantee, value and urgency; urgent work preempts other work.
    #[default]
    Worth,
    /// By time of arrival, without preemption. A baseline for measurements.
    Arrival,
    /// By the latest start that is on time, without preemption. A baseline for measurements.
    Deadline,
    /// By the queue's priority, then by time of arrival; priority 0 preempts other work. A baseline for measurements.
    Priority,
}
