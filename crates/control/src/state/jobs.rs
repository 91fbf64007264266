use {
    super::{Answer, Step},
    crate::fault::{self, Fault},
    indexmap::{IndexMap, IndexSet},
    model::job::{Attempt, Job, Member, Spec, State},
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Ended jobs are kept this long so that resends and readers find them.
const KEEP_ENDED_MS: u64 = 7 * 24 * 3600 * 1000;

/// What a cancellation did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancellation {
    /// The job will not run.
    NotRun,
    /// The job had started and is being stopped.
    WhileRunning,
    /// The job had ended before.
    AlreadyEnded,
}

/// The jobs of a region group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Jobs {
    next_id: u64,
    next_token: u64,
    jobs: IndexMap<u64, Job>,
    /// Failed attempts by job.
    failures: IndexMap<u64, u32>,
    #[serde(skip)]
    keys: HashMap<(String, String), u64>,
    #[serde(skip)]
    held: HashMap<(String, u16), u64>,
    /// Jobs changed since a controller last asked. A replica that never leads is never asked, so each job
    /// is kept once.
    #[serde(skip)]
    changed: IndexSet<u64>,
}

impl Jobs {
    /// Rebuilds the indices after the state was read from a snapshot.
    pub fn index(&mut self) {
        self.keys.clear();
        self.held.clear();
        for job in self.jobs.values() {
            let key = (job.spec.account.clone(), job.spec.key.clone());
            self.keys.insert(key, job.id);
            let holds = job.state.holds() && !fault::is(Fault::HeldSlotsNotRestored);
            if let (true, Some(attempt)) = (holds, &job.attempt) {
                for slot in slots(&attempt.members) {
                    self.held.insert(slot, job.id);
                }
            }
        }
        self.changed = self.jobs.keys().copied().collect();
    }

    /// All jobs in the order of acceptance.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// One job.
    pub fn get(&self, id: u64) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The job that was accepted under a key.
    pub fn find(&self, account: &str, key: &str) -> Option<&Job> {
        let id = self.keys.get(&(account.to_owned(), key.to_owned()))?;
        self.jobs.get(id)
    }

    /// Returns and forgets the ids of the jobs changed since the last call.
    pub fn take_changed(&mut self) -> IndexSet<u64> {
        std::mem::take(&mut self.changed)
    }

    /// Accepts a job, or returns the one accepted under the same key.
    pub fn submit(&mut self, spec: Spec, at_ms: u64) -> Answer {
        let key = (spec.account.clone(), spec.key.clone());
        if let Some(job) = self.keys.get(&key).and_then(|id| self.jobs.get(id)) {
            return if job.spec == spec {
                Answer::Job(Box::new(job.clone()))
            } else {
                Answer::KeyReused
            };
        }
        self.next_id += 1;
        let job = Job {
            id: self.next_id,
            spec,
            state: State::Queued,
            attempt: None,
            starts: 0,
            cancelled: false,
            borrowed: false,
            detail: "accepted".into(),
            submitted_ms: at_ms,
            changed_ms: at_ms,
        };
        self.keys.insert(key, job.id);
        self.changed.insert(job.id);
        self.jobs.insert(job.id, job.clone());
        Answer::Job(Box::new(job))
    }

    /// Cancels a job. Before its start it ends at once; later its gang is stopped first.
    pub fn cancel(&mut self, id: u64, at_ms: u64) -> Answer {
        let Some(job) = self.jobs.get_mut(&id) else {
            return Answer::Missing;
        };
        let outcome = match job.state {
            State::Queued | State::Placed => {
                let ran = job.starts > 0;
                release(&mut self.held, job);
                job.cancelled = true;
                job.state = State::Cancelled;
                job.detail = if ran {
                    "cancelled between attempts".into()
                } else {
                    "cancelled, not run".into()
                };
                if ran {
                    Cancellation::WhileRunning
                } else {
                    Cancellation::NotRun
                }
            }
            State::Starting | State::Running | State::Stopping => {
                job.cancelled = true;
                job.state = State::Stopping;
                job.detail = "cancelled while running".into();
                Cancellation::WhileRunning
            }
            _ => Cancellation::AlreadyEnded,
        };
        if outcome != Cancellation::AlreadyEnded {
            job.changed_ms = at_ms;
            self.changed.insert(id);
        }
        Answer::Cancelled(outcome, Box::new(job.clone()))
    }

    /// Applies a step if the job is in a state that allows it and the token is that of its attempt.
    pub fn advance(&mut self, id: u64, token: u64, step: Step, at_ms: u64) -> Answer {
        let Some(job) = self.jobs.get_mut(&id) else {
            return Answer::Missing;
        };
        let current = job.attempt.as_ref().map_or(0, |attempt| attempt.token);
        let queued = job.state == State::Queued;
        if token != current || job.state.is_end() {
            return Answer::Stale(Box::new(job.clone()));
        }
        let moved = match step {
            Step::Place { members, borrowed } if queued => {
                // A slot that occurs twice in the gang would be held by two of its tasks.
                let mut wanted = HashSet::new();
                let free = slots(&members)
                    .all(|slot| !self.held.contains_key(&slot) && wanted.insert(slot));
                if free && !members.is_empty() {
                    self.next_token += 1;
                    for slot in slots(&members) {
                        self.held.insert(slot, id);
                    }
                    let number = job.attempt.as_ref().map_or(0, |a| a.number) + 1;
                    job.attempt = Some(Attempt {
                        number,
                        token: self.next_token,
                        members,
                    });
                    job.borrowed = borrowed;
                    enter(job, State::Placed, "placed".into());
                    true
                } else {
                    false
                }
            }
            Step::Release { reason } if job.state == State::Placed => {
                release(&mut self.held, job);
                enter(job, State::Queued, reason);
                true
            }
            Step::Start if job.state == State::Placed => {
                job.starts += 1;
                enter(job, State::Starting, "starting".into());
                true
            }
            Step::Run if job.state == State::Starting => {
                enter(job, State::Running, "running".into());
                true
            }
            Step::Stop { reason, failed }
                if matches!(job.state, State::Starting | State::Running) =>
            {
                if failed {
                    *self.failures.entry(id).or_default() += 1;
                }
                enter(job, State::Stopping, reason);
                true
            }
            // The caller of a cancellation was told that the job is stopped, so a success or failure that was
            // on its way ends it as cancelled through the stop.
            Step::End { state, detail }
                if state.is_end()
                    && job.state != State::Placed
                    && (!job.cancelled || state == State::Cancelled) =>
            {
                release(&mut self.held, job);
                enter(job, state, detail);
                true
            }
            Step::Requeue { reason } if job.state == State::Stopping => {
                release(&mut self.held, job);
                let failures = self.failures.get(&id).copied().unwrap_or(0);
                requeue(job, reason, failures);
                true
            }
            _ => false,
        };
        if !moved {
            return Answer::Stale(Box::new(job.clone()));
        }
        job.changed_ms = at_ms;
        self.changed.insert(id);
        Answer::Moved(Box::new(job.clone()))
    }

    /// Failed attempts of a job.
    pub fn failures(&self, id: u64) -> u32 {
        self.failures.get(&id).copied().unwrap_or(0)
    }

    /// Removes jobs that ended longer ago than they are kept.
    pub fn expire(&mut self, at_ms: u64) {
        let old =
            |job: &Job| job.state.is_end() && job.changed_ms.saturating_add(KEEP_ENDED_MS) < at_ms;
        for job in self.jobs.values().filter(|job| old(job)) {
            let key = (job.spec.account.clone(), job.spec.key.clone());
            self.keys.remove(&key);
        }
        self.jobs.retain(|_, job| !old(job));
        let jobs = &self.jobs;
        self.failures.retain(|id, _| jobs.contains_key(id));
        self.changed.retain(|id| jobs.contains_key(id));
    }
}

fn slots(members: &[Member]) -> impl Iterator<Item = (String, u16)> {
    members.iter().flat_map(|member| {
        let worker = &member.worker;
        member
            .accelerators
            .iter()
            .map(move |index| (worker.clone(), *index))
    })
}

fn release(held: &mut HashMap<(String, u16), u64>, job: &Job) {
    if let Some(attempt) = &job.attempt {
        for slot in slots(&attempt.members) {
            if held.get(&slot) == Some(&job.id) {
                held.remove(&slot);
            }
        }
    }
}

fn enter(job: &mut Job, state: State, detail: String) {
    job.state = state;
    job.detail = detail;
}

/// Queues a stopped job again if it may run again, and ends it otherwise.
fn requeue(job: &mut Job, reason: String, failures: u32) {
    if job.cancelled {
        enter(job, State::Cancelled, "cancelled while running".into());
    } else if !job.spec.repeatable {
        enter(
            job,
            State::Unknown,
            format!("{reason}; it is not known whether the job finished"),
        );
    } else if failures >= job.spec.max_attempts {
        enter(
            job,
            State::Failed,
            format!("{reason}; all {failures} attempts failed"),
        );
    } else {
        enter(job, State::Queued, reason);
    }
}
