use {
    crate::fleet::{Allocation, Fleet},
    model::shape::{Adjacency, Shape},
};

/// Tells whether a gang of `shape` may count against a guarantee of shape `guaranteed`.
///
/// A smaller gang must need at least half of the guaranteed accelerators, so that a small job does not
/// use up a large guarantee, and must be preemptible in case the account claims the whole shape.
pub fn covers(guaranteed: &Shape, shape: &Shape, preemptible: bool) -> bool {
    shape.tasks <= guaranteed.tasks
        && shape.accelerators <= guaranteed.accelerators
        && shape.cpus <= guaranteed.cpus
        && shape.memory_mb <= guaranteed.memory_mb
        && (shape.tasks == 1 || shape.adjacency >= guaranteed.adjacency)
        && (is_whole(guaranteed, shape)
            || (preemptible && shape.total_accelerators() * 2 >= guaranteed.total_accelerators()))
}

/// Tells whether a gang has as many tasks and accelerators as the guaranteed shape.
pub fn is_whole(guaranteed: &Shape, shape: &Shape) -> bool {
    (shape.tasks, shape.accelerators) == (guaranteed.tasks, guaranteed.accelerators)
}

/// `shape` with the closer adjacency of the two shapes.
pub fn with_tighter_adjacency(shape: &Shape, guaranteed: &Shape) -> Shape {
    Shape {
        adjacency: shape.adjacency.min(guaranteed.adjacency),
        ..shape.clone()
    }
}

/// The closest adjacency that `allocations` satisfy; `None` if they span data centres or include a
/// worker that has not announced itself.
pub fn closest_adjacency(fleet: &Fleet, allocations: &[Allocation]) -> Option<Adjacency> {
    let first = fleet.machine(allocations.first()?.machine);
    let mut adjacency = Adjacency::Worker;
    for allocation in allocations {
        let machine = fleet.machine(allocation.machine);
        if !machine.known || machine.centre != first.centre {
            return None;
        }
        if machine.worker.rack != first.worker.rack {
            adjacency = Adjacency::DataCentre;
        } else if machine.worker.name != first.worker.name {
            adjacency = adjacency.max(Adjacency::Rack);
        }
    }
    Some(adjacency)
}
