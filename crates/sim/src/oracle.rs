use {
    indexmap::{IndexMap, IndexSet},
    std::fmt,
    work::{
        id,
        job::Resources,
        registry::{Registry, State},
        upstream::{End, Outcome},
    },
};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Two runs of a task at the same time.
    Twice(id::Task),
    /// A task was started after it was done.
    Again(id::Task),
    /// The tasks on an upstream need more than it has.
    Overfull(id::Upstream),
    /// A task was started before the steps that it waits for.
    Early(id::Task),
    /// A task was started after as many failures as its queue allows, or three times after three upstreams had crashed
    /// under it.
    Budget(id::Task),
    /// A member of a gang waited in vain for the others.
    Alone(id::Task),
    /// A task of a cancelled job was started too late.
    Unasked(id::Task),
    /// An upstream got new work too late after it had said that it leaves.
    Drained(id::Upstream),
    /// An upstream got new work too late after its data centre was evacuated.
    Evacuated(id::Upstream),
    /// A task that lasts was stopped at work although as many others of its step as may be unavailable were.
    Unavailable(id::Task),
    /// A lease ended although nothing was wrong.
    Lapsed(id::Task),
    /// A job had nothing running for long although there was room.
    Idle(id::Job),
    /// A task was started without a valid decision of the policy service.
    Unpermitted(id::Task),
    /// A job is shown as ended otherwise than its tasks did.
    Shown(id::Job),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Time after a cancelling within which a start may still arrive, in milliseconds.
const CANCEL_MS: u64 = 3000;

/// Time after the acknowledged draining within which a start may still arrive, in milliseconds.
const DRAIN_MS: u64 = 2500;

/// Time after the acknowledged evacuation of a data centre within which a start may still arrive there, in milliseconds.
const EVACUATE_MS: u64 = 5000;

/// Time without work after which a task that lasts counts as unavailable, in milliseconds.
const NOTICE_MS: u64 = 4500;

/// Crashes under a task from which its starts are counted.
const CRASHES_TO_COUNT_FROM: u32 = 3;

/// Starts of a task that are allowed after that many crashes.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// Crashes under a task from which it may be given up.
const CRASHES_TO_GIVE_UP: u32 = 2;

/// What upstreams see, checked against the promises.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Broken promises in the order in which they were seen.
    pub breaches: Vec<Breach>,
    /// Where each task runs.
    running: IndexMap<id::Task, IndexSet<id::Upstream>>,
    /// Tasks whose end as done binds: it was taken note of, or still can be.
    done: IndexSet<id::Task>,
    /// Tasks of which the end as done was lost with its upstream before it was released. It does not bind what the next
    /// incarnation was told before.
    unreleased: IndexSet<id::Task>,
    /// Tasks that an upstream has ever ended as done. An end that was listed before its upstream crashed counts for
    /// what the job is shown as.
    ever_done: IndexSet<id::Task>,
    /// Ends as failed, counted once for each run of a gang.
    failed: IndexMap<id::Task, IndexSet<u32>>,
    /// Upstreams that crashed under each task.
    crashes: IndexMap<id::Task, u32>,
    /// Starts of each task since the third crash under it.
    starts_after_crashes: IndexMap<id::Task, u32>,
    /// When jobs were cancelled and upstreams began to drain, in milliseconds.
    cancelled: IndexMap<id::Job, u64>,
    draining: IndexMap<id::Upstream, u64>,
    /// When the data centres that are evacuated were, in milliseconds.
    evacuated: IndexMap<String, u64>,
    /// Tasks that last and are not at work.
    absences: IndexMap<id::Task, Absence>,
}

/// Why a task that lasts is not at work.
#[derive(Clone, Copy, Debug)]
struct Absence {
    /// When it was first seen, in milliseconds.
    since_ms: u64,
    /// Whether an order ended the run.
    is_ordered: bool,
}

impl Oracle {
    /// An upstream begins a run. `room` is what all its runs take, this one included.
    pub fn begun(
        &mut self,
        registry: &Registry,
        at: &id::Upstream,
        task: id::Task,
        room: Resources,
        late: bool,
        now_ms: u64,
    ) {
        let copies = registry.step(&task).is_some_and(|step| step.copies);
        let hosts = self.running.entry(task).or_default();
        if !hosts.is_empty() && !copies {
            self.breaches.push(Breach::Twice(task));
        }
        hosts.insert(at.clone());
        let was_told_before = late && self.unreleased.contains(&task);
        if self.done.contains(&task) && !copies && !was_told_before {
            self.breaches.push(Breach::Again(task));
        }
        let capacity = registry.upstream(at).map(|upstream| upstream.capacity);
        if capacity.is_some_and(|capacity| !capacity.fits(&room)) {
            self.breaches.push(Breach::Overfull(at.clone()));
        }
        if late {
            return;
        }
        let Some(job) = registry.job(task.job) else {
            return;
        };
        let after = job
            .step(&task)
            .map(|step| step.after.clone())
            .unwrap_or_default();
        let earlier = self.done.iter().filter(|done| done.job == task.job);
        let steps: Vec<u16> = earlier.map(|done| done.step).collect();
        for step in after {
            let count = job
                .form
                .steps
                .get(usize::from(step))
                .map_or(0, |step| step.count);
            let done = steps.iter().filter(|done| **done == step).count();
            if done < usize::from(count) {
                self.breaches.push(Breach::Early(task));
            }
        }
        let attempts = registry.queue(&job.queue).map_or(1, |queue| queue.attempts) as usize;
        if self
            .failed
            .get(&task)
            .is_some_and(|runs| runs.len() >= attempts)
        {
            self.breaches.push(Breach::Budget(task));
        }
        if self.crashes(&task) >= CRASHES_TO_COUNT_FROM {
            let starts = self.starts_after_crashes.entry(task).or_default();
            *starts += 1;
            if *starts == MAX_STARTS_AFTER_CRASHES + 1 {
                self.breaches.push(Breach::Budget(task));
            }
        }
        if self
            .cancelled
            .get(&task.job)
            .is_some_and(|at| now_ms > at + CANCEL_MS)
        {
            self.breaches.push(Breach::Unasked(task));
        }
        if self
            .draining
            .get(at)
            .is_some_and(|at| now_ms > at + DRAIN_MS)
        {
            self.breaches.push(Breach::Drained(at.clone()));
        }
        let data_centre = registry.upstream(at).map(|upstream| &upstream.data_centre);
        let evacuated = data_centre.and_then(|name| self.evacuated.get(name));
        if evacuated.is_some_and(|at| now_ms > at + EVACUATE_MS) {
            self.breaches.push(Breach::Evacuated(at.clone()));
        }
    }

    /// A run ended at an upstream. `excused` tells whether a fault of the day explains a lapse or a lonely member.
    pub fn ended(&mut self, at: &id::Upstream, end: &End, excused: bool) {
        if let Some(hosts) = self.running.get_mut(&end.task) {
            hosts.shift_remove(at);
        }
        match end.how {
            Outcome::Done => {
                self.done.insert(end.task);
                self.ever_done.insert(end.task);
            }
            Outcome::Failed => drop(self.failed.entry(end.task).or_default().insert(end.run)),
            Outcome::Alone if !excused => self.breaches.push(Breach::Alone(end.task)),
            Outcome::Lapsed if !excused => self.breaches.push(Breach::Lapsed(end.task)),
            _ => {}
        }
    }

    /// The end of a task as done was lost with its upstream before it was released.
    pub fn lost_end(&mut self, task: id::Task) {
        self.unreleased.insert(task);
    }

    /// Whether the end of a task as done was lost with its upstream before it was released.
    pub fn is_end_lost(&self, task: &id::Task) -> bool {
        self.unreleased.contains(task)
    }

    /// An upstream lost all that ran on it, and begins an incarnation in which it has promised nothing.
    pub fn lost(&mut self, at: &id::Upstream) {
        for (task, hosts) in &mut self.running {
            if hosts.shift_remove(at) {
                *self.crashes.entry(*task).or_default() += 1;
            }
        }
        self.draining.shift_remove(at);
    }

    /// An upstream that had told so has left; what ran on it ended without a crash.
    pub fn left(&mut self, at: &id::Upstream) {
        for hosts in self.running.values_mut() {
            hosts.shift_remove(at);
        }
        self.draining.shift_remove(at);
    }

    fn crashes(&self, task: &id::Task) -> u32 {
        self.crashes.get(task).copied().unwrap_or(0)
    }

    /// The end of a task as done can never be taken note of: its upstream lost it, or its lease ended first.
    pub fn forget_done(&mut self, task: &id::Task) {
        self.done.shift_remove(task);
    }

    /// Whether a task that lasts is at work.
    pub fn observe_lasting(&mut self, task: id::Task, is_at_work: bool, now_ms: u64) {
        if is_at_work {
            self.absences.shift_remove(&task);
        } else {
            self.absences.entry(task).or_insert(Absence {
                since_ms: now_ms,
                is_ordered: false,
            });
        }
    }

    /// An order ended a run of a task that lasts. `counts` tells whether it was at work on an upstream that does not leave,
    /// and whether the order was not held up; `spare` is the number of tasks of its step that may be unavailable.
    pub fn stopped_lasting(&mut self, task: id::Task, spare: u16, counts: bool, now_ms: u64) {
        let is_away = |(other, absence): &(&id::Task, &Absence)| {
            let is_noticed = now_ms >= absence.since_ms + NOTICE_MS;
            **other != task && other.is_same_step(&task) && (absence.is_ordered || is_noticed)
        };
        let away = self.absences.iter().filter(is_away).count();
        let is_cancelled = self.cancelled.contains_key(&task.job);
        if counts && !is_cancelled && away >= usize::from(spare) {
            self.breaches.push(Breach::Unavailable(task));
        }
        let absence = Absence {
            since_ms: now_ms,
            is_ordered: true,
        };
        self.absences.insert(task, absence);
    }

    /// A cancelling was acknowledged.
    pub fn cancelled(&mut self, job: id::Job, now_ms: u64) {
        self.cancelled.entry(job).or_insert(now_ms);
    }

    /// An upstream's draining was acknowledged.
    pub fn draining(&mut self, upstream: id::Upstream, now_ms: u64) {
        self.draining.entry(upstream).or_insert(now_ms);
    }

    /// The evacuation of a data centre was acknowledged.
    pub fn evacuated(&mut self, data_centre: String, now_ms: u64) {
        self.evacuated.entry(data_centre).or_insert(now_ms);
    }

    /// An evacuated data centre was taken back.
    pub fn readmitted(&mut self, data_centre: &str) {
        self.evacuated.shift_remove(data_centre);
    }

    /// Checks what jobs are shown as at the end of the day.
    pub fn finish(&mut self, registry: &Registry, jobs: impl IntoIterator<Item = id::Job>) {
        for id in jobs {
            let Some(job) = registry.job(id) else {
                self.breaches.push(Breach::Shown(id));
                continue;
            };
            let all_done = job.form.steps.iter().enumerate().all(|(number, step)| {
                let done = self
                    .ever_done
                    .iter()
                    .filter(|task| task.job == id && usize::from(task.step) == number);
                // The end of one member of a gang stands for all.
                let count = done.count();
                count >= usize::from(step.count) || (step.gang && count > 0)
            });
            let cancelled = self.cancelled.contains_key(&id);
            let attempts = registry.queue(&job.queue).map_or(1, |queue| queue.attempts) as usize;
            let mut runs: IndexMap<(u16, u16), IndexSet<u32>> = IndexMap::new();
            for (task, failed) in self.failed.iter().filter(|(task, _)| task.job == id) {
                let gang = job.step(task).is_some_and(|step| step.gang);
                let key = (task.step, if gang { 0 } else { task.index });
                runs.entry(key).or_default().extend(failed);
            }
            let failed = runs.values().any(|runs| runs.len() >= attempts);
            let mut crashes = self.crashes.iter().filter(|(task, _)| task.job == id);
            let given_up = crashes.any(|(_, count)| *count >= CRASHES_TO_GIVE_UP);
            let right = match job.state {
                State::Completed => all_done,
                State::Cancelled => cancelled,
                State::Failed => failed || given_up,
                State::Open => true,
            };
            if !right {
                self.breaches.push(Breach::Shown(id));
            }
        }
    }
}
