use {
    crate::fleet::{Fleet, Part},
    model::shape::{Adjacency, Shape},
};

/// Tells whether a gang of `shape` counts under a guarantee of `guaranteed`: it fits into the
/// guaranteed shape and needs at least half of its accelerators. Without the second condition one
/// small job would use up a large guarantee.
pub fn covers(guaranteed: &Shape, shape: &Shape) -> bool {
    shape.tasks <= guaranteed.tasks
        && shape.accelerators <= guaranteed.accelerators
        && shape.cpus <= guaranteed.cpus
        && shape.memory_mb <= guaranteed.memory_mb
        && shape.total_accelerators() * 2 >= guaranteed.total_accelerators()
        && (shape.tasks == 1 || shape.adjacency >= guaranteed.adjacency)
}

/// `shape` with the adjacency of the guarantee under which it counts.
pub fn tightened(shape: &Shape, guaranteed: &Shape) -> Shape {
    Shape {
        adjacency: shape.adjacency.min(guaranteed.adjacency),
        ..shape.clone()
    }
}

/// The closest adjacency that `parts` have; none when they span data centres or unknown workers.
pub fn spread(fleet: &Fleet, parts: &[Part]) -> Option<Adjacency> {
    let first = fleet.machine(parts.first()?.machine);
    let mut adjacency = Adjacency::Worker;
    for part in parts {
        let machine = fleet.machine(part.machine);
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
