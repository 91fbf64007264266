use super::Mask;

/// Resources of one machine that are allocated to one task of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Index of the machine in the fleet.
    pub machine: u32,
    /// Allocated accelerators.
    pub mask: Mask,
    /// Processors: the larger of declared and last reported use.
    pub cpus: u32,
    /// Memory in MB: the larger of declared and last reported use.
    pub memory_mb: u32,
}
