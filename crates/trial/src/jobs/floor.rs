use {
    super::site::{ACCELERATORS, RACK, workers},
    model::{
        config::Config,
        job::Spec,
        place::{Site, permits},
        shape::{Adjacency, Shape},
    },
};

/// Accelerators of one task: index of the worker and a bit for each accelerator.
pub type Part = (usize, u8);

/// Which accelerators are free, as the driver counts them.
#[derive(Clone)]
pub struct Floor {
    free: Vec<u8>,
    sites: Vec<Site>,
}

impl Floor {
    /// An empty deployment.
    pub fn new() -> Floor {
        let workers = workers();
        Floor {
            free: vec![u8::MAX; workers.len()],
            sites: workers.into_iter().map(|worker| worker.site).collect(),
        }
    }

    /// Marks parts as held. Returns whether all of them were free.
    pub fn hold(&mut self, parts: &[Part]) -> bool {
        let mut free = true;
        for (worker, mask) in parts {
            free &= self.free[*worker] & mask == *mask;
            self.free[*worker] &= !mask;
        }
        free
    }

    /// Marks parts as free.
    pub fn free(&mut self, parts: &[Part]) {
        for (worker, mask) in parts {
            self.free[*worker] |= mask;
        }
    }

    /// Free accelerators on the allowed workers.
    pub fn total(&self, allowed: &[bool]) -> u32 {
        let free = self
            .free
            .iter()
            .zip(allowed)
            .filter(|(_, allowed)| **allowed);
        free.map(|(free, _)| free.count_ones()).sum()
    }

    /// Workers that a job may use.
    pub fn allowed(&self, config: &Config, spec: &Spec) -> Vec<bool> {
        let account = config.accounts.get(&spec.account);
        let home = config.homes.get(&spec.account);
        let wanted = |site: &Site| match (&spec.place, home) {
            (Some(place), _) => place.contains(site),
            (None, Some(home)) => *home == site.region,
            (None, None) => true,
        };
        self.sites
            .iter()
            .map(|site| wanted(site) && account.is_some_and(|account| permits(account, site)))
            .collect()
    }

    /// First fit: the first worker, rack or data centre in order that holds the gang.
    pub fn fit(&self, shape: &Shape, allowed: &[bool]) -> Option<Vec<Part>> {
        let group = match (shape.tasks, shape.adjacency) {
            (1, _) | (_, Adjacency::Worker) => 1,
            (_, Adjacency::Rack) => RACK,
            (_, Adjacency::DataCentre) => 2 * RACK,
        };
        (0..self.free.len()).step_by(group).find_map(|start| {
            let mut parts = Vec::new();
            for (worker, allowed) in allowed.iter().enumerate().skip(start).take(group) {
                let mut free = if *allowed { self.free[worker] } else { 0 };
                while parts.len() < usize::from(shape.tasks) {
                    let Some(mask) = run(free, shape.accelerators) else {
                        break;
                    };
                    free &= !mask;
                    parts.push((worker, mask));
                }
            }
            (parts.len() == usize::from(shape.tasks)).then_some(parts)
        })
    }
}

/// The first `len` adjacent free accelerators.
fn run(free: u8, len: u16) -> Option<u8> {
    let mask = (1u16 << len) - 1;
    (0..=ACCELERATORS.checked_sub(len)?)
        .map(|start| (mask << start) as u8)
        .find(|mask| free & mask == *mask)
}
