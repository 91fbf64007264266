use {
    super::Driver,
    crate::Error,
    quorum::Event,
    std::{collections::VecDeque, sync::atomic::Ordering, thread, time::Duration},
};

/// Delay between attempts to write to a full disk.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Minimum time between two transfers of leadership because of a full disk.
const LEAVE_PAUSE: Duration = Duration::from_secs(1);

/// A disk without space.
impl Driver {
    /// Retries a write until the disk has space. Meanwhile this replica behaves like one with a slow disk: it neither
    /// answers nor leads, and the other replicas continue without it.
    pub(super) fn retry_while_full<T>(
        &mut self,
        mut write: impl FnMut(&mut disk::Store) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let mut is_reported = false;
        loop {
            match write(&mut self.store) {
                Err(Error::Disk(error @ disk::Error::Full { .. }))
                    if !self.stop_requested.load(Ordering::Relaxed) =>
                {
                    if !is_reported {
                        log::error!("event=disk_full group={} error=\"{error}\"", self.name);
                        let mut view = self.view();
                        view.leader = None;
                        view.leading_since = None;
                        view.lease_confirmed_at = None;
                        view.stop_reason = Some(error.to_string());
                        is_reported = true;
                    }
                    thread::sleep(DISK_FULL_RETRY_DELAY);
                }
                result => {
                    if is_reported && result.is_ok() {
                        log::info!("event=disk_has_space group={}", self.name);
                        self.view().stop_reason = None;
                    }
                    return result;
                }
            }
        }
    }

    /// Transfers leadership because the disk has no space for a command: a leader that accepts nothing keeps the whole
    /// group from working. The pause lets the group settle if the disks of all voters are full.
    pub(super) fn leave_leadership(&mut self, events: &mut VecDeque<Event>) -> Result<(), Error> {
        let now = self.clock.now();
        let is_due = self
            .left_leadership_at
            .is_none_or(|at| now >= at + LEAVE_PAUSE);
        if !is_due || !self.node.is_leader() {
            return Ok(());
        }
        self.left_leadership_at = Some(now);
        log::warn!("event=leadership_left group={} reason=disk_full", self.name);
        self.transfer_leadership(events)
    }
}
