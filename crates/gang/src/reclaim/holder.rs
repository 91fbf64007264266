use {crate::fleet::Allocation, std::collections::BTreeMap};

/// Cost of freeing the allocations of a set of holders; fields are compared in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Accelerator seconds of lost work; seconds to wait if `Search::minimize_wait` is set.
    pub primary: u64,
    /// Number of gangs to stop or to wait for.
    pub gangs: u32,
}

/// A running job whose allocations become free when it is stopped or ends.
#[derive(Clone, Debug)]
pub struct Holder {
    /// What becomes free, one allocation for each task.
    pub allocations: Vec<Allocation>,
    /// Accelerator seconds lost if it is stopped, or expected seconds until it ends.
    pub cost: u64,
}

/// Running jobs that a plan may stop or wait for, by job and by machine.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    /// Holders by job id.
    pub jobs: BTreeMap<u64, Holder>,
    /// Job ids by machine index.
    pub machines: Vec<Vec<u64>>,
}

impl Holders {
    /// An empty set for a fleet of `machines` machines.
    pub fn new(machines: usize) -> Holders {
        Holders {
            jobs: BTreeMap::new(),
            machines: vec![Vec::new(); machines],
        }
    }

    /// Adds a job with the cost of freeing its allocations.
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
