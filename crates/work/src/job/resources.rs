use {
    serde::{Deserialize, Serialize},
    std::ops::{Add, AddAssign, Sub, SubAssign},
};

/// Cores that one accelerator counts as when work is weighed; the platform's price list uses the same figure.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// Room on an upstream: what a task takes, or what an upstream has.
///
/// Signed, so that room promised beyond what is free shows as negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: i64,
    /// Memory in megabytes.
    pub memory_mb: i64,
    /// Accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// Tells whether `need` fits into this room.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// How many times `need` fits into this room.
    pub fn multiples_of(&self, need: &Resources) -> usize {
        if !self.fits(need) {
            return 0;
        }
        let ratio = |room: i64, each: i64| if each > 0 { room / each } else { i64::MAX };
        let times = ratio(self.cpu_milli, need.cpu_milli)
            .min(ratio(self.memory_mb, need.memory_mb))
            .min(ratio(self.accelerators, need.accelerators));
        usize::try_from(times).unwrap_or(usize::MAX)
    }

    /// Cores that the room counts as, accelerators included.
    pub fn core_equivalents(&self) -> f64 {
        self.cpu_milli as f64 / 1000.0 + self.accelerators as f64 * CORES_PER_ACCELERATOR
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli - other.cpu_milli,
            memory_mb: self.memory_mb - other.memory_mb,
            accelerators: self.accelerators - other.accelerators,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}
