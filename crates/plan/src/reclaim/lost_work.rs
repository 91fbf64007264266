use {std::time::Duration, work::job::Resources};

/// Work lost by a task that saves as it stops: its stop, and loading the checkpoint. The platform's pages state
/// 200 to 900 ms and 100 to 250 ms.
const RESUME_TIME: Duration = Duration::from_millis(500);

/// Core-seconds that are lost if a task is stopped that has worked for this long. One that saves checkpoints makes
/// one as it stops, so it only loses the time until it works again.
pub fn lost_work(room: &Resources, age: Duration, saves: bool) -> f64 {
    let lost = if saves { RESUME_TIME } else { age };
    lost.as_secs_f64() * room.core_equivalents()
}
