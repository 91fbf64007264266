use {crate::fleet::Allocation, std::collections::BTreeMap};

/// Cost of a set of holders, compared in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Accelerator seconds lost, or seconds to wait.
    pub primary: u64,
    /// Number of gangs.
    pub gangs: u32,
}

/// A job whose place may be used.
#[derive(Clone, Debug)]
pub struct Holder {
    /// What it holds.
    pub allocations: Vec<Allocation>,
    /// Cost of removing it or waiting for it.
    pub cost: u64,
}

/// Jobs whose places may be used, by job and by machine.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    /// By job.
    pub jobs: BTreeMap<u64, Holder>,
    /// Jobs on each machine.
    pub machines: Vec<Vec<u64>>,
}

impl Holders {
    /// No holders on `machines` machines.
    pub fn new(machines: usize) -> Holders {
        Holders {
            jobs: BTreeMap::new(),
            machines: vec![Vec::new(); machines],
        }
    }

    /// Adds a job.
    pub fn add(&mut self, job: u64, allocations: &[Allocation], cost: u64) {
        for allocation in allocations {
            let here = &mut self.machines[allocation.machine as usize];
            if here.last() != Some(&job) {
                here.push(job);
            }
        }
        let allocations = allocations.to_vec();
        self.jobs.insert(job, Holder { allocations, cost });
    }
}
