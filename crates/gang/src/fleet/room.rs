use {
    super::{Mask, Part},
    model::shape::Shape,
};

/// What is free on one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Space {
    /// Whether the machine may get tasks at all.
    pub open: bool,
    /// Free accelerators.
    pub mask: Mask,
    /// Free processors; negative when tasks use more than they declared.
    pub cpus: i64,
    /// Free memory in MB; negative when tasks use more than they declared.
    pub memory_mb: i64,
}

impl Space {
    /// How many tasks of `shape` fit.
    pub fn fits(&self, shape: &Shape) -> u32 {
        if !self.open {
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
            count = count.min(self.mask.runs(shape.accelerators));
        }
        count
    }
}

/// What is free on every machine of a fleet, by machine index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Room(pub Vec<Space>);

impl Room {
    /// Marks the resources of `part` as held.
    pub fn hold(&mut self, part: &Part) {
        let space = &mut self.0[part.machine as usize];
        space.mask = space.mask.without(part.mask);
        space.cpus -= i64::from(part.cpus);
        space.memory_mb -= i64::from(part.memory_mb);
    }

    /// Marks the resources of `part` as free.
    pub fn free(&mut self, part: &Part) {
        let space = &mut self.0[part.machine as usize];
        space.mask = space.mask.with(part.mask);
        space.cpus += i64::from(part.cpus);
        space.memory_mb += i64::from(part.memory_mb);
    }

    /// Takes the resources of one task on `machine`.
    pub fn take(&mut self, machine: u32, shape: &Shape) -> Option<Part> {
        let space = &self.0[machine as usize];
        if space.fits(shape) == 0 {
            return None;
        }
        let mask = match shape.accelerators {
            0 => Mask::default(),
            len => space.mask.take(len)?,
        };
        let part = Part {
            machine,
            mask,
            cpus: u32::from(shape.cpus),
            memory_mb: shape.memory_mb,
        };
        self.hold(&part);
        Some(part)
    }
}
