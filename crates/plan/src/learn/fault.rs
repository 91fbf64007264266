use work::{collections::IndexSet, id, registry::StepProgress};

/// Number of upstreams on which a step must have failed before the step itself counts as the cause.
const MIN_UPSTREAMS: usize = 3;

/// Whether a failed run on an upstream is the fault of its step rather than of the upstream: the step has failed on several
/// upstreams, on more than there are others that run it and tasks that are done.
pub fn is_fault_of_step(progress: &StepProgress, upstream: &id::Upstream) -> bool {
    let tasks = progress.tasks.iter();
    let mut failed_on: IndexSet<&id::Upstream> = tasks.flat_map(|task| &task.failed_on).collect();
    failed_on.insert(upstream);
    let done = progress.tasks.iter().filter(|task| task.done).count();
    let live = progress.tasks.iter().flat_map(|task| &task.live);
    let running_on: IndexSet<&id::Upstream> = live
        .map(|run| &run.upstream)
        .filter(|upstream| !failed_on.contains(upstream))
        .collect();
    // A failed member ends the runs of its whole gang.
    let is_gang = progress.gang_run > 0;
    let sound = done + if is_gang { 0 } else { running_on.len() };
    failed_on.len() >= MIN_UPSTREAMS && failed_on.len() > sound
}
