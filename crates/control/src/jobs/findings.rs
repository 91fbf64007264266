use {
    super::Observer,
    indexmap::IndexSet,
    model::job::{Job, State},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time},
};

/// Most jobs that are remembered between a first start that failed and the next one. Older ones are
/// forgotten, and their start is not reported.
const MAX_PENDING: usize = 4096;

#[derive(Debug, Default)]
struct Held {
    /// Jobs whose first start was committed in this leadership and that have not run yet.
    pending: IndexSet<u64>,
    quarantined: IndexSet<String>,
    owed: usize,
}

/// What the leader found out about jobs and workers, for readers outside the controller.
#[derive(Clone)]
pub struct Findings {
    held: Arc<Mutex<Held>>,
    observer: Arc<dyn Observer>,
    /// Number of the configuration that the scheduler works with.
    configured: Arc<watch::Sender<u64>>,
}

impl Findings {
    /// Returns empty findings that report transitions to `observer`.
    pub fn new(observer: Arc<dyn Observer>) -> Findings {
        Findings {
            held: Arc::default(),
            observer,
            configured: Arc::new(watch::Sender::new(0)),
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets everything. Another leader may have acted since the last leadership of this replica.
    pub fn reset(&self) {
        *self.held() = Held::default();
        self.configured.send_replace(0);
    }

    /// Notes the number of the configuration that the scheduler works with.
    pub fn configured(&self, number: u64) {
        self.configured.send_replace(number);
    }

    /// Waits until the scheduler works with a configuration of at least `number`; false after `limit`.
    pub async fn wait_configured(&self, number: u64, limit: Duration) -> bool {
        let mut configured = self.configured.subscribe();
        let reached = configured.wait_for(|held| *held >= number);
        matches!(time::timeout(limit, reached).await, Ok(Ok(_)))
    }

    /// Takes the state of a job after a step that this replica proposed and that took effect.
    pub fn moved(&self, job: &Job) {
        match job.state {
            State::Starting if job.starts == 1 => {
                let mut held = self.held();
                held.pending.insert(job.id);
                if held.pending.len() > MAX_PENDING {
                    held.pending.shift_remove_index(0);
                }
            }
            State::Running => {
                let pending = self.held().pending.shift_remove(&job.id);
                // With one start, this is the first run even if another leader committed the start.
                if pending || job.starts == 1 {
                    self.observer.started(job);
                }
            }
            state if state.is_end() => {
                let pending = self.held().pending.shift_remove(&job.id);
                self.observer.ended(job, job.starts > 0 && !pending);
            }
            _ => {}
        }
    }

    /// Notes that a worker is in quarantine or has left it.
    pub fn quarantine(&self, worker: &str, quarantined: bool) {
        let mut held = self.held();
        if quarantined {
            held.quarantined.insert(worker.to_owned());
        } else {
            held.quarantined.shift_remove(worker);
        }
    }

    /// Tells whether a worker is in quarantine.
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.held().quarantined.contains(worker)
    }

    /// Notes the number of guarantees that cannot be proved.
    pub fn owe(&self, shortfalls: usize) {
        self.held().owed = shortfalls;
    }

    /// Number of guarantees that cannot be proved.
    pub fn owed(&self) -> usize {
        self.held().owed
    }
}
