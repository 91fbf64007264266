use {
    super::{Allocation, Mask},
    model::shape::Shape,
};

/// Free resources of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Whether new tasks may be placed on the machine at all.
    pub schedulable: bool,
    /// Free accelerators.
    pub mask: Mask,
    /// Free processors; negative if tasks use more than they declared.
    pub cpus: i64,
    /// Free memory in MB; negative if tasks use more than they declared.
    pub memory_mb: i64,
}

impl Resources {
    /// Number of tasks of `shape` that fit, at most the size of the gang.
    pub fn fits(&self, shape: &Shape) -> u32 {
        if !self.schedulable {
            return 0;
        }
        let mut count = u32::from(shape.tasks);
        if shape.cpus > 0 {
            count = count.min((self.cpus.max(0) / i64::from(shape.cpus)) as u32);
        }
        if shape.memory_mb > 0 {
            count = count.min((self.memory_mb.max(0) / i64::from(shape.memory_mb)) as u32);
        }
        if shape.accelerators > 0 && count > 0 {
            count = count.min(self.mask.count_disjoint(shape.accelerators));
        }
        count
    }
}

/// Free resources of all machines of a fleet, by machine index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capacity(pub Vec<Resources>);

impl Capacity {
    /// Subtracts `allocation` from the free resources of its machine.
    pub fn hold(&mut self, allocation: &Allocation) {
        let resources = &mut self.0[allocation.machine as usize];
        resources.mask = resources.mask.difference(allocation.mask);
        resources.cpus -= i64::from(allocation.cpus);
        resources.memory_mb -= i64::from(allocation.memory_mb);
    }

    /// Returns `allocation` to the free resources of its machine.
    pub fn free(&mut self, allocation: &Allocation) {
        let resources = &mut self.0[allocation.machine as usize];
        resources.mask = resources.mask.union(allocation.mask);
        resources.cpus += i64::from(allocation.cpus);
        resources.memory_mb += i64::from(allocation.memory_mb);
    }

    /// Allocates one task of `shape` on `machine`, if it fits.
    pub fn take(&mut self, machine: u32, shape: &Shape) -> Option<Allocation> {
        let resources = &self.0[machine as usize];
        if resources.fits(shape) == 0 {
            return None;
        }
        let mask = match shape.accelerators {
            0 => Mask::default(),
            len => resources.mask.best_fit(len)?,
        };
        let allocation = Allocation {
            machine,
            mask,
            cpus: u32::from(shape.cpus),
            memory_mb: shape.memory_mb,
        };
        self.hold(&allocation);
        Some(allocation)
    }
}
