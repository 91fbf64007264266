/// How ready work is ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// By guarantee, worth and urgency; urgent work displaces other work.
    #[default]
    Worth,
    /// By time of arrival, without displacing. A baseline for measurements.
    Arrival,
    /// By the queue's priority, then by time of arrival; priority 0 displaces other work. A baseline for
    /// measurements.
    Priority,
}
