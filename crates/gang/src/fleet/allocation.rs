use super::Mask;

/// What one task of a gang holds on one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Index of the machine in the fleet.
    pub machine: u32,
    /// Accelerators.
    pub mask: Mask,
    /// Processors: declared or, if larger, reported as used.
    pub cpus: u32,
    /// Memory in MB: declared or, if larger, reported as used.
    pub memory_mb: u32,
}
