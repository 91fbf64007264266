use {
    super::{Job, Occurrence, Run, State, StepProgress, TaskProgress},
    crate::{
        config::{Config, Queue},
        id,
        job::{Resources, Step},
        upstream::Upstream,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
};

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Registry {
    /// Latest agreed time of day in milliseconds since the Unix epoch.
    pub time_ms: u64,
    pub(super) config: Option<Config>,
    /// Queues by name as last described, also those that the configuration has dropped: their accepted jobs
    /// still run.
    pub(super) queues: IndexMap<String, Queue>,
    pub(super) jobs: IndexMap<id::Job, Job>,
    pub(super) upstreams: IndexMap<id::Upstream, Known>,
    #[serde(skip)]
    pub(super) open: IndexSet<id::Job>,
    #[serde(skip)]
    pub(super) live: IndexMap<id::Upstream, IndexMap<(id::Task, u32), Allocation>>,
    /// Counts the changes that were applied; for noticing that there is something new.
    #[serde(skip)]
    pub(super) changes: u64,
}

/// An upstream and the ends that it may forget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Known {
    pub upstream: Upstream,
    pub last_end: u64,
}

/// A run that may be running, as its upstream is charged for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// The room that it takes.
    pub room: Resources,
    /// The life of the upstream.
    pub born_ms: u64,
}

impl Registry {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// A queue by name, also one that the configuration has dropped.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }

    /// A job by id.
    pub fn job(&self, id: id::Job) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Number of kept jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs that have not ended, in the order of their acceptance.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().map(|known| &known.upstream)
    }

    /// An upstream by id.
    pub fn upstream(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id).map(|known| &known.upstream)
    }

    /// Number of the last end that was taken note of in the present life of an upstream.
    pub fn last_end(&self, id: &id::Upstream) -> u64 {
        self.upstreams.get(id).map_or(0, |known| known.last_end)
    }

    /// Runs that may be running on an upstream.
    pub fn allocations_on(
        &self,
        id: &id::Upstream,
    ) -> impl Iterator<Item = (&(id::Task, u32), &Allocation)> {
        self.live.get(id).into_iter().flatten()
    }

    /// All runs that may be running, by upstream.
    pub fn allocations(
        &self,
    ) -> impl Iterator<Item = (&id::Upstream, &(id::Task, u32), &Allocation)> {
        self.live
            .iter()
            .flat_map(|(upstream, runs)| runs.iter().map(move |(run, live)| (upstream, run, live)))
    }

    /// Number of changes since the book was opened.
    pub fn revision(&self) -> u64 {
        self.changes
    }

    /// The description of a task's step.
    pub fn step(&self, task: &id::Task) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task)
    }

    /// How far a task is; none before its occurrence has begun.
    pub fn task(&self, task: &id::Task) -> Option<&TaskProgress> {
        let progress = self.progress(task)?;
        progress.tasks.get(usize::from(task.index))
    }

    /// How far the step of a task is; none before its occurrence has begun.
    pub fn progress(&self, task: &id::Task) -> Option<&StepProgress> {
        let occurrence = self.occurrence(task.job, task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))
    }

    /// An occurrence that has begun and not finished.
    pub fn occurrence(&self, job: id::Job, occurrence: u32) -> Option<&Occurrence> {
        self.jobs.get(&job)?.occurrences.get(&occurrence)
    }

    /// A run that may be running.
    pub fn run(&self, task: &id::Task, number: u32) -> Option<&Run> {
        let task = self.task(task)?;
        task.live.iter().find(|run| run.number == number)
    }

    /// Whether a kept job ended before a time of day.
    pub fn has_job_ended_before(&self, before_ms: u64) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| job.ended_ms.is_some_and(|ended_ms| ended_ms < before_ms))
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn unstarted_jobs(&self, queue: &str) -> usize {
        self.open_jobs()
            .filter(|job| job.queue == queue && !job.begun)
            .count()
    }

    /// Rebuilds what follows from the rest.
    pub(super) fn index(&mut self) {
        self.open = IndexSet::new();
        self.live = IndexMap::new();
        for job in self.jobs.values() {
            if job.state == State::Open {
                self.open.insert(job.id);
            }
            for (task, run, room) in job.live_runs() {
                let runs = self.live.entry(run.upstream.clone()).or_default();
                let live = Allocation {
                    room,
                    born_ms: run.born_ms,
                };
                runs.insert((task, run.number), live);
            }
        }
    }
}

impl Job {
    /// Runs that may be running, with the room of each.
    pub fn live_runs(&self) -> impl Iterator<Item = (id::Task, &Run, Resources)> {
        self.occurrences
            .iter()
            .flat_map(move |(number, occurrence)| {
                let steps = occurrence.steps.iter().zip(&self.form.steps).enumerate();
                steps.flat_map(move |(step, (progress, described))| {
                    let tasks = progress.tasks.iter().enumerate();
                    tasks.flat_map(move |(index, task)| {
                        let name = id::Task {
                            job: self.id,
                            occurrence: *number,
                            step: step as u16,
                            index: index as u16,
                        };
                        let room = described.reserved();
                        task.live.iter().map(move |run| (name, run, room))
                    })
                })
            })
    }
}
