use std::{fmt, ops::Range, time::Duration};

/// How instances treat requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// This version.
    Current,
    /// Each request goes to the next upstream at once; upstreams queue.
    RoundRobin,
    /// Each instance has a fixed number of requests per upstream and one queue in order of arrival.
    FixedLimits,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Policy::Current => "this version",
            Policy::RoundRobin => "round robin, no limits",
            Policy::FixedLimits => "fixed local limits",
        })
    }
}

/// What demand the instances meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// 60% of capacity, then 3 times capacity, then 60% again.
    Crest,
    /// Short work in bursts, without batch.
    Short,
    /// The same short work beside a backlog of batch that would fill every slot.
    Backlog,
    /// No demand: only the messages between instances.
    Idle,
    /// 90% of capacity while an instance dies, upstreams depart and messages are lost.
    Failures,
}

/// Options of [`super::run`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds; the same for each policy.
    pub seeds: Range<u64>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: u16,
    /// Instances.
    pub instances: usize,
    /// Demand in the crest, in multiples of capacity.
    pub crest: f64,
    /// Length of the crest.
    pub crest_time: Duration,
    /// Demand before and after the crest, in multiples of capacity.
    pub base: f64,
    /// Changes the settings of the routers under trial.
    pub tune: fn(&mut route::Settings),
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seeds: 1..11,
            policies: vec![Policy::Current, Policy::RoundRobin, Policy::FixedLimits],
            upstreams: 48,
            slots: 8,
            instances: 7,
            crest: 3.0,
            crest_time: Duration::from_secs(15),
            base: 0.6,
            tune: |_| {},
        }
    }
}
