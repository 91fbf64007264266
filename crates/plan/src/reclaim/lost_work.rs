use {std::time::Duration, work::job::Resources};

/// Work time that a task loses if it saves a checkpoint when it is stopped: the stop and loading the checkpoint. The
/// platform states 200 to 900 ms and 100 to 250 ms.
const RESUME_TIME: Duration = Duration::from_millis(500);

/// Core-seconds that are lost if a task of this age is stopped. A task that saves checkpoints saves one when it is
/// stopped, so it loses only the time until it works again.
pub fn lost_work(resources: &Resources, age: Duration, saves_checkpoints: bool) -> f64 {
    let lost = if saves_checkpoints { RESUME_TIME } else { age };
    lost.as_secs_f64() * resources.core_equivalents()
}
