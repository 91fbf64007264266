use {
    serde::{Deserialize, Serialize},
    std::ops::{Add, AddAssign, Sub, SubAssign},
};

/// Weight of one accelerator in cores, the same as in the platform's price list.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// Resources that a task reserves, or that an upstream has.
///
/// Signed, so that overcommitted resources show as negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: i64,
    /// Memory in megabytes.
    pub memory_mb: i64,
    /// Number of accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// Whether `request` fits into these resources.
    pub fn fits(&self, request: &Resources) -> bool {
        self.cpu_milli >= request.cpu_milli
            && self.memory_mb >= request.memory_mb
            && self.accelerators >= request.accelerators
    }

    /// How many times `request` fits into these resources.
    pub fn multiples_of(&self, request: &Resources) -> usize {
        if !self.fits(request) {
            return 0;
        }
        let ratio = |available: i64, each: i64| if each > 0 { available / each } else { i64::MAX };
        let times = ratio(self.cpu_milli, request.cpu_milli)
            .min(ratio(self.memory_mb, request.memory_mb))
            .min(ratio(self.accelerators, request.accelerators));
        usize::try_from(times).unwrap_or(usize::MAX)
    }

    /// Weight in cores; an accelerator counts as 8.
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
