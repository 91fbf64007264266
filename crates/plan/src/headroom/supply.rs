use crate::order::{Rank, Unit};

/// Share of a service's accelerators that single tasks leave to gangs that wait. Gangs need many at once, so single
/// tasks would take each of them as it becomes free.
const GANG_SHARE: f64 = 0.05;

/// Accelerators of a service during one round of planning.
#[derive(Clone, Copy, Debug, Default)]
pub struct Supply {
    /// All that its usable upstreams have.
    pub capacity: i64,
    /// Free or being freed, and not set aside.
    pub free: i64,
    /// Kept free for urgent work that has not arrived yet.
    pub reserved: i64,
    /// Left by single tasks to gangs that wait.
    pub gang_reserve: i64,
}

impl Supply {
    /// Keeps accelerators free for urgent work. While half of the service is idle urgent work finds room anyway, and
    /// whatever waits must start.
    pub fn reserve_for_urgent(&mut self, accelerators: i64) {
        let is_idle = self.free * 2 > self.capacity;
        self.reserved = if is_idle { 0 } else { accelerators };
    }

    /// How many tasks of a unit may be started. Tasks that last have users of their own, so they never wait for work
    /// that has not arrived.
    pub fn allowance(&self, unit: &Unit<'_>) -> usize {
        let each = unit.resources.accelerators;
        if unit.priority == 0 || each == 0 || unit.step.lasting {
            return unit.tasks.len();
        }
        let gang_reserve = if unit.step.gang { 0 } else { self.gang_reserve };
        usize::try_from((self.free - self.reserved - gang_reserve) / each).unwrap_or(0)
    }

    /// Room was taken by, or set aside for, a number of tasks of a unit.
    pub fn allocate(&mut self, unit: &Unit<'_>, tasks: usize) {
        let taken = unit.resources.accelerators * tasks as i64;
        self.free -= taken;
        if unit.priority == 0 {
            self.reserved = (self.reserved - taken).max(0);
        }
    }

    /// A gang found no place. Gangs that are late have no claim.
    pub fn reserve_for_gang(&mut self, unit: &Unit<'_>) {
        if matches!(unit.rank, Rank::OnTime(_)) {
            let wanted = unit.resources.accelerators * unit.tasks.len() as i64;
            let most = (self.capacity as f64 * GANG_SHARE) as i64;
            self.gang_reserve = (self.gang_reserve + wanted).min(most);
        }
    }
}
