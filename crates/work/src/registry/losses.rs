use {
    super::Blame,
    serde::{Deserialize, Serialize},
};

/// Crashes after which a task is given up if one upstream ran nothing else when it crashed.
const MAX_CRASHES_ALONE: u32 = 2;

/// Crashes after which a task is given up, whatever else ran there. The platform allows a task to be started twice after
/// the third crash, and to be given up from the second on.
const MAX_CRASHES: u32 = 3;

/// Losses after which a task is given up, including crashes that it may not have caused. If it has caused all of them, it
/// has been started twice since the third.
const MAX_LOSSES: u32 = 5;

/// Upstreams that were lost while they ran a task, or a gang.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Losses {
    /// Upstreams that crashed before the task had made progress there.
    pub crashes: u32,
    /// Whether one of them ran nothing else.
    pub crashed_alone: bool,
    /// Upstreams that crashed after the task had made progress, or that may not have started it.
    pub possible_crashes: u32,
    /// Time of the latest loss by the registry's clock, in milliseconds since the Unix epoch; 0 before the first.
    pub latest_ms: u64,
}

impl Losses {
    /// Adds the loss of an upstream.
    pub(super) fn record(&mut self, blame: Blame, time_ms: u64) {
        match blame {
            Blame::None => return,
            Blame::Possible => self.possible_crashes += 1,
            Blame::Shared => self.crashes += 1,
            Blame::Sole => {
                self.crashes += 1;
                self.crashed_alone = true;
            }
        }
        self.latest_ms = time_ms;
    }

    /// Number of upstreams lost, whatever the cause.
    pub fn total(&self) -> u32 {
        self.crashes + self.possible_crashes
    }

    /// Whether the task may crash the next upstream too, so that it should run alone. A single loss that may have had
    /// another cause is no reason.
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0 || self.possible_crashes > 1
    }

    /// Whether so many upstreams were lost that the platform allows few further starts, whatever has caused the losses.
    pub fn leaves_few_starts(&self) -> bool {
        self.total() >= MAX_CRASHES
    }

    /// Whether a further loss would make the task one that is given up.
    pub fn is_too_many_with(&self, blame: Blame) -> bool {
        let mut losses = self.clone();
        losses.record(blame, self.latest_ms);
        losses.is_too_many()
    }

    /// Whether the task is given up, because it crashes the upstreams that start it.
    pub fn is_too_many(&self) -> bool {
        (self.crashed_alone && self.crashes >= MAX_CRASHES_ALONE)
            || self.crashes >= MAX_CRASHES
            || self.total() >= MAX_LOSSES
    }
}
