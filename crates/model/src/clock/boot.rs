use {
    super::Clock,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, Instant, SystemTime},
};

/// The machine's clocks, with monotonic time that also counts while the machine is suspended.
///
/// The steady clock of the standard library stands still during a suspension, so a lease that counts on it would
/// seem to be valid after the others have elected another leader.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    start: Instant,
    booted: Duration,
}

impl Boot {
    /// A clock that starts now.
    pub fn open() -> Boot {
        Boot {
            start: Instant::now(),
            booted: since_boot(),
        }
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
