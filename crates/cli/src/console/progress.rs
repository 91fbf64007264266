use {
    super::Console,
    std::time::{Duration, Instant},
};

/// An unchanged state is repeated after this time, so that a long wait does not look like a hang.
const REPEAT: Duration = Duration::from_secs(10);

/// Reports the progress of a wait on standard error.
#[derive(Debug, Default)]
pub struct Progress {
    last: Option<(String, Instant)>,
}

impl Progress {
    /// Prints `text` if it differs from the last one or that one is old.
    pub fn show(&mut self, console: &mut Console<'_>, text: String, now: Instant) {
        let quiet = self.last.as_ref().is_some_and(|(shown, at)| {
            *shown == text && now.saturating_duration_since(*at) < REPEAT
        });
        if !quiet {
            console.note(&text);
            self.last = Some((text, now));
        }
    }
}
