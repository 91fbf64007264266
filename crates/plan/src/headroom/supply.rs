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
    pub held: i64,
    /// Left by single tasks to gangs that wait.
    pub awaited: i64,
}

impl Supply {
    /// Keeps accelerators free for urgent work. While half of the service is idle urgent work finds room anyway, and
    /// whatever waits must start.
    pub fn keep(&mut self, accelerators: i64) {
        let is_idle = self.free * 2 > self.capacity;
        self.held = if is_idle { 0 } else { accelerators };
    }

    /// How many tasks of a unit may be started. Tasks that last have users of their own, so they never wait for work
    /// that has not arrived.
    pub fn allowance(&self, unit: &Unit<'_>) -> usize {
        let each = unit.room.accelerators;
        if unit.priority == 0 || each == 0 || unit.step.lasting {
            return unit.tasks.len();
        }
        let awaited = if unit.step.gang { 0 } else { self.awaited };
        usize::try_from((self.free - self.held - awaited) / each).unwrap_or(0)
    }

    /// Room was taken by, or set aside for, a number of tasks of a unit.
    pub fn take(&mut self, unit: &Unit<'_>, tasks: usize) {
        let taken = unit.room.accelerators * tasks as i64;
        self.free -= taken;
        if unit.priority == 0 {
            self.held = (self.held - taken).max(0);
        }
    }

    /// A gang found no place. Gangs that are late have no claim.
    pub fn await_room(&mut self, unit: &Unit<'_>) {
        if matches!(unit.rank, Rank::OnTime(_)) {
            let wanted = unit.room.accelerators * unit.tasks.len() as i64;
            let most = (self.capacity as f64 * GANG_SHARE) as i64;
            self.awaited = (self.awaited + wanted).min(most);
        }
    }
}
