use {
    super::{Allocation, Capacity, Fleet},
    model::shape::{Adjacency, Shape},
};

/// The machines that a gang may use.
#[derive(Clone, Copy, Debug)]
pub struct Filter<'a> {
    /// Whether a data centre may be used, by index.
    pub centres: &'a [bool],
    /// Machines to leave out.
    pub avoid: &'a [u32],
}

/// Allocates all tasks of `shape` within `capacity`, or returns `None`.
///
/// Best fit: picks the worker, rack or data centre with the fewest free accelerators that can hold the
/// gang, and fills the fullest workers or racks in it first, so that whole workers and racks stay free.
pub fn pack(
    fleet: &Fleet,
    capacity: &Capacity,
    shape: &Shape,
    filter: Filter,
) -> Option<Vec<Allocation>> {
    if shape.tasks == 0 {
        return None;
    }
    let single = shape.tasks == 1 || shape.adjacency == Adjacency::Worker;
    let mut best: Option<((u32, u32), Vec<u32>)> = None;
    for centre in 0..filter.centres.len() {
        if !filter.centres[centre] {
            continue;
        }
        let mut whole = Vec::new();
        let mut whole_free = 0;
        let mut whole_fits = 0;
        for rack in fleet.racks_of(centre) {
            let mut fits = 0;
            let mut free = 0;
            let mut usable = Vec::new();
            for &machine in rack {
                let resources = &capacity.0[machine as usize];
                let here = match filter.avoid.contains(&machine) {
                    true => 0,
                    false => resources.fits(shape),
                };
                free += resources.mask.len();
                if here > 0 {
                    usable.push(machine);
                }
                fits += here;
            }
            if single {
                for &machine in &usable {
                    let resources = &capacity.0[machine as usize];
                    let score = (resources.mask.len(), free);
                    if resources.fits(shape) >= u32::from(shape.tasks)
                        && best.as_ref().is_none_or(|(least, _)| score < *least)
                    {
                        best = Some((score, vec![machine]));
                    }
                }
            } else if shape.adjacency == Adjacency::Rack {
                if fits >= u32::from(shape.tasks)
                    && best.as_ref().is_none_or(|(least, _)| (free, 0) < *least)
                {
                    best = Some(((free, 0), usable));
                }
            } else {
                whole_fits += fits;
                whole_free += free;
                whole.push((free, usable));
            }
        }
        if !single
            && shape.adjacency == Adjacency::DataCentre
            && whole_fits >= u32::from(shape.tasks)
            && best
                .as_ref()
                .is_none_or(|(least, _)| (whole_free, 0) < *least)
        {
            whole.sort_by_key(|(free, _)| *free);
            let machines = whole
                .into_iter()
                .flat_map(|(_, machines)| machines)
                .collect();
            best = Some(((whole_free, 0), machines));
        }
    }
    let (_, mut machines) = best?;
    if shape.adjacency == Adjacency::Rack {
        machines.sort_by_key(|machine| capacity.0[*machine as usize].mask.len());
    }
    fill(capacity, shape, &machines)
}

fn fill(capacity: &Capacity, shape: &Shape, machines: &[u32]) -> Option<Vec<Allocation>> {
    let mut capacity = capacity.clone();
    let mut allocations = Vec::with_capacity(usize::from(shape.tasks));
    for &machine in machines {
        while allocations.len() < usize::from(shape.tasks) {
            match capacity.take(machine, shape) {
                Some(allocation) => allocations.push(allocation),
                None => break,
            }
        }
    }
    (allocations.len() == usize::from(shape.tasks)).then_some(allocations)
}
