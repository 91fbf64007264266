use crate::order::{Rank, Unit};

/// Maximum share of a service's accelerators that single tasks leave to waiting gangs. A gang needs many accelerators
/// at once; without the reserve, single tasks would take each one as it becomes free.
const GANG_SHARE: f64 = 0.05;

/// Accelerators of a service during one planning round.
#[derive(Clone, Copy, Debug, Default)]
pub struct Supply {
    /// Total of the usable upstreams.
    pub capacity: i64,
    /// Number that is free or being freed, and not reserved for waiting work.
    pub free: i64,
    /// Number that is free on upstreams set aside for urgent work that has not arrived yet.
    pub reserved: i64,
    /// Number that single tasks leave to waiting gangs.
    pub gang_reserve: i64,
    /// Whether room is collected for a waiting gang.
    pub is_collecting: bool,
}

impl Supply {
    /// Whether more than half of the service is free. Nothing is kept free then: urgent work finds free accelerators
    /// anyway, and waiting work must start.
    pub fn is_idle(&self) -> bool {
        self.free * 2 > self.capacity
    }

    /// How many tasks of a unit may be started with the accelerators that are not reserved for other work.
    pub fn allowance(&self, unit: &Unit<'_>) -> usize {
        let each = unit.resources.accelerators;
        if !unit.leaves_headroom() {
            return unit.tasks.len();
        }
        let gang_reserve = if unit.step.gang { 0 } else { self.gang_reserve };
        usize::try_from((self.free - self.reserved - gang_reserve) / each).unwrap_or(0)
    }

    /// Subtracts the accelerators that a task of a unit takes or reserves on an upstream, which may be set aside for
    /// urgent work.
    pub fn allocate(&mut self, unit: &Unit<'_>, set_aside: bool) {
        self.free -= unit.resources.accelerators;
        if set_aside {
            self.reserved = (self.reserved - unit.resources.accelerators).max(0);
        }
    }

    /// Reserves accelerators for a gang that could not be placed. Late gangs get no reserve.
    pub fn reserve_for_gang(&mut self, unit: &Unit<'_>) {
        if matches!(unit.rank, Rank::OnTime(_)) {
            let wanted = unit.resources.accelerators * unit.tasks.len() as i64;
            let most = (self.capacity as f64 * GANG_SHARE) as i64;
            self.gang_reserve = (self.gang_reserve + wanted).min(most);
        }
    }
}
