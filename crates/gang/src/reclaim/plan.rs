use {
    super::{Cost, Holders},
    crate::fleet::{Allocation, Capacity, Filter, Fleet, Mask, Resources},
    model::shape::{Adjacency, Shape},
    std::collections::BTreeSet,
};

/// Allocations for a gang and the jobs that must release them first.
#[derive(Clone, Debug)]
pub struct Plan {
    /// One allocation for each task of the gang.
    pub allocations: Vec<Allocation>,
    /// Jobs to stop or to wait for.
    pub holders: BTreeSet<u64>,
    /// Total cost of these jobs.
    pub cost: Cost,
}

/// Searches for the cheapest allocations of a gang, from free capacity and from holders.
pub struct Search<'a> {
    /// Workers to search.
    pub fleet: &'a Fleet,
    /// Capacity that is free without touching a holder.
    pub free: &'a Capacity,
    /// Jobs that a plan may stop or wait for.
    pub holders: &'a Holders,
    /// Whether costs are waiting times, of which the longest counts, instead of losses, which add up.
    pub minimize_wait: bool,
}

/// A block of adjacent accelerators for one task on one machine.
#[derive(Clone, Debug)]
struct Window {
    cost: Cost,
    mask: Mask,
    holders: Vec<u64>,
}

/// Intermediate state of the search within one worker, rack or data centre.
struct Domain {
    /// Free resources by machine, after removal of the chosen holders and minus the chosen allocations.
    resources: Vec<(u32, Resources)>,
    /// Cheapest window by index into `resources`: outer `None` if it must be searched again, inner
    /// `None` if no task fits.
    windows: Vec<Option<Option<Window>>>,
    plan: Plan,
}

impl Search<'_> {
    /// Plans for every worker, rack or data centre that can hold the gang, cheapest first.
    pub fn plans(&self, shape: &Shape, filter: Filter) -> Vec<Plan> {
        let mut plans = Vec::new();
        let allowed = |machine: &&u32| !filter.avoid.contains(machine);
        for centre in (0..filter.centres.len()).filter(|centre| filter.centres[*centre]) {
            let racks = self.fleet.racks_of(centre);
            if shape.tasks == 1 || shape.adjacency == Adjacency::Worker {
                let machines = racks.flatten().filter(allowed);
                plans.extend(machines.filter_map(|machine| self.plan(shape, &[*machine])));
            } else if shape.adjacency == Adjacency::Rack {
                for rack in racks {
                    let rack: Vec<_> = rack.iter().filter(allowed).copied().collect();
                    plans.extend(self.plan(shape, &rack));
                }
            } else {
                let machines: Vec<_> = racks.flatten().filter(allowed).copied().collect();
                plans.extend(self.plan(shape, &machines));
            }
        }
        plans.sort_by_key(|plan| plan.cost);
        plans
    }

    /// Places one task after the other on `machines`, each at the lowest cost.
    fn plan(&self, shape: &Shape, machines: &[u32]) -> Option<Plan> {
        let mut domain = Domain {
            resources: machines
                .iter()
                .map(|m| (*m, self.free.0[*m as usize]))
                .collect(),
            windows: vec![None; machines.len()],
            plan: Plan {
                allocations: Vec::new(),
                holders: BTreeSet::new(),
                cost: Cost::default(),
            },
        };
        if !self.may_fit(shape, &domain) {
            return None;
        }
        for _ in 0..shape.tasks {
            let mut best: Option<(Cost, usize)> = None;
            for index in 0..domain.resources.len() {
                if domain.windows[index].is_none() {
                    let window = self.window(shape, &domain, index);
                    domain.windows[index] = Some(window);
                }
                if let Some(Some(window)) = &domain.windows[index]
                    && best.is_none_or(|(least, _)| window.cost < least)
                {
                    best = Some((window.cost, index));
                }
            }
            let (_, index) = best?;
            let window = domain.windows[index].take().flatten()?;
            self.choose(shape, &mut domain, index, window);
        }
        Some(domain.plan)
    }

    /// Compares accelerator counts only, to skip full domains cheaply.
    fn may_fit(&self, shape: &Shape, domain: &Domain) -> bool {
        let mut total = 0;
        for (machine, resources) in &domain.resources {
            if resources.schedulable {
                total += resources.mask.len();
                for job in &self.holders.machines[*machine as usize] {
                    let allocations = self.holders.jobs[job].allocations.iter();
                    let here = allocations.filter(|allocation| allocation.machine == *machine);
                    total += here.map(|allocation| allocation.mask.len()).sum::<u32>();
                }
            }
        }
        total >= shape.total_accelerators()
    }

    fn choose(&self, shape: &Shape, domain: &mut Domain, index: usize, window: Window) {
        let cost = &mut domain.plan.cost;
        cost.primary = match self.minimize_wait {
            true => cost.primary.max(window.cost.primary),
            false => cost.primary + window.cost.primary,
        };
        cost.gangs += window.cost.gangs;
        for job in &window.holders {
            domain.plan.holders.insert(*job);
            for allocation in &self.holders.jobs[job].allocations {
                let at = domain
                    .resources
                    .iter()
                    .position(|(machine, _)| *machine == allocation.machine);
                if let Some(at) = at {
                    let resources = &mut domain.resources[at].1;
                    resources.mask = resources.mask.union(allocation.mask);
                    resources.cpus += i64::from(allocation.cpus);
                    resources.memory_mb += i64::from(allocation.memory_mb);
                    domain.windows[at] = None;
                }
            }
        }
        let (machine, resources) = &mut domain.resources[index];
        resources.mask = resources.mask.difference(window.mask);
        resources.cpus -= i64::from(shape.cpus);
        resources.memory_mb -= i64::from(shape.memory_mb);
        domain.windows[index] = None;
        domain.plan.allocations.push(Allocation {
            machine: *machine,
            mask: window.mask,
            cpus: u32::from(shape.cpus),
            memory_mb: shape.memory_mb,
        });
    }

    /// The cheapest block of adjacent accelerators for one task on one machine.
    fn window(&self, shape: &Shape, domain: &Domain, index: usize) -> Option<Window> {
        let (machine, resources) = domain.resources[index];
        if !resources.schedulable {
            return None;
        }
        let here = &self.holders.machines[machine as usize];
        let left: Vec<_> = here
            .iter()
            .filter(|job| !domain.plan.holders.contains(job))
            .collect();
        let mut best: Option<Window> = None;
        let count = self.fleet.machine(machine).worker.accelerators.min(128);
        let last = count.checked_sub(shape.accelerators)?;
        let starts = if shape.accelerators == 0 {
            0..=0
        } else {
            0..=last
        };
        for start in starts {
            let mask = Mask(Mask::full(shape.accelerators).0 << start);
            let Some(window) = self.window_at(shape, machine, &resources, &left, mask) else {
                continue;
            };
            // At equal cost the lowest block is kept, which leaves the free accelerators less fragmented.
            if best.as_ref().is_none_or(|best| window.cost < best.cost) {
                best = Some(window);
            }
        }
        best
    }

    /// The holders to remove so that one task gets `mask` on `machine`; `None` if that is not enough.
    fn window_at(
        &self,
        shape: &Shape,
        machine: u32,
        resources: &Resources,
        left: &[&u64],
        mask: Mask,
    ) -> Option<Window> {
        let mut removed = Vec::new();
        let mut open = *resources;
        let mut remove = |job: u64, open: &mut Resources| {
            removed.push(job);
            for allocation in &self.holders.jobs[&job].allocations {
                if allocation.machine == machine {
                    open.mask = open.mask.union(allocation.mask);
                    open.cpus += i64::from(allocation.cpus);
                    open.memory_mb += i64::from(allocation.memory_mb);
                }
            }
        };
        for &&job in left {
            let allocations = &self.holders.jobs[&job].allocations;
            if allocations
                .iter()
                .any(|allocation| allocation.machine == machine && allocation.mask.intersects(mask))
            {
                remove(job, &mut open);
            }
        }
        if mask.difference(open.mask).len() > 0 {
            return None;
        }
        let short = |open: &Resources| {
            (shape.cpus > 0 && open.cpus < i64::from(shape.cpus))
                || (shape.memory_mb > 0 && open.memory_mb < i64::from(shape.memory_mb))
        };
        if short(&open) {
            let mut others: Vec<_> = left.iter().map(|job| **job).collect();
            others.sort_by_key(|job| self.holders.jobs[job].cost);
            for job in others {
                let allocations = &self.holders.jobs[&job].allocations;
                if allocations.iter().any(|allocation| {
                    allocation.machine == machine && allocation.mask.intersects(mask)
                }) {
                    continue;
                }
                remove(job, &mut open);
                if !short(&open) {
                    break;
                }
            }
            if short(&open) {
                return None;
            }
        }
        let costs = removed.iter().map(|job| self.holders.jobs[job].cost);
        Some(Window {
            cost: Cost {
                primary: if self.minimize_wait {
                    costs.max().unwrap_or(0)
                } else {
                    costs.sum()
                },
                gangs: removed.len() as u32,
            },
            mask,
            holders: removed,
        })
    }
}
