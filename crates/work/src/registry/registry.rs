use {
    super::{
        Change, Evacuations, Job, Occurrence, Run, State, StepProgress, TaskProgress,
        changes::Changes,
    },
    crate::{
        collections::{IndexMap, IndexSet},
        config::{Config, Queue},
        id,
        job::{Resources, Step},
        upstream::Upstream,
    },
    serde::{Deserialize, Serialize},
};

/// The replicated state, changed only by committed commands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Registry {
    /// Replicated clock: the latest time of any applied command, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    pub(super) config: Option<Config>,
    /// Queues by [endpoint](Queue::endpoint), as last configured. A queue that the configuration has dropped is retained
    /// until its accepted jobs have been removed.
    pub(super) queues: IndexMap<String, Queue>,
    pub(super) jobs: IndexMap<id::Job, Job>,
    pub(super) upstreams: IndexMap<id::Upstream, Record>,
    /// Follows the other fields in a snapshot, see [`Registry::save`].
    #[serde(skip)]
    pub(super) evacuations: Evacuations,
    /// Jobs that have not ended, in order of acceptance; derived from `jobs`.
    #[serde(skip)]
    pub(super) open: IndexSet<id::Job>,
    /// Allocations of the runs that may still be running, by upstream and run; derived from `jobs`.
    #[serde(skip)]
    pub(super) live: IndexMap<id::Upstream, IndexMap<(id::Task, u32), Allocation>>,
    /// Number of commands applied since the process started or loaded a snapshot.
    #[serde(skip)]
    pub(super) revision: u64,
    #[serde(skip)]
    pub(super) changes: Changes,
}

/// An upstream and the number of its last recorded end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Record {
    pub upstream: Upstream,
    /// Ends up to this number are recorded, so that the upstream may forget them; 0 for none.
    pub last_end: u64,
}

/// Resources that a run which may still be running takes on its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// Resources reserved for the run.
    pub resources: Resources,
    /// Incarnation of the upstream, identified by its start time in milliseconds.
    pub born_ms: u64,
}

impl Registry {
    /// The current configuration; none before the first.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// A queue by [endpoint](Queue::endpoint), including one that the configuration has dropped and that still has jobs.
    pub fn queue(&self, endpoint: &str) -> Option<&Queue> {
        self.queues.get(endpoint)
    }

    /// A job by id; none if it is unknown or was removed after its end.
    pub fn job(&self, id: id::Job) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Number of jobs, including ended ones that are still retained.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs that have not ended, in order of acceptance.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Registered upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().map(|record| &record.upstream)
    }

    /// Number of registered upstreams.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// A registered upstream by id.
    pub fn upstream(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id).map(|record| &record.upstream)
    }

    /// Number of the last recorded end of an upstream's current incarnation; 0 for none.
    pub fn last_end(&self, id: &id::Upstream) -> u64 {
        self.upstreams.get(id).map_or(0, |record| record.last_end)
    }

    /// Allocations on an upstream, by run.
    pub fn allocations_on(
        &self,
        id: &id::Upstream,
    ) -> impl Iterator<Item = (&(id::Task, u32), &Allocation)> {
        self.live.get(id).into_iter().flatten()
    }

    /// All allocations, by upstream and run.
    pub fn allocations(
        &self,
    ) -> impl Iterator<Item = (&id::Upstream, &(id::Task, u32), &Allocation)> {
        self.live.iter().flat_map(|(upstream, runs)| {
            runs.iter()
                .map(move |(run, allocation)| (upstream, run, allocation))
        })
    }

    /// Runs that may still be running with their allocations, by upstream.
    pub fn live_runs(
        &self,
    ) -> impl Iterator<Item = (&id::Upstream, &IndexMap<(id::Task, u32), Allocation>)> {
        self.live.iter()
    }

    /// Number of commands applied since the process started or loaded a snapshot; changes whenever the registry
    /// may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What has changed of runs, upstreams and jobs since a revision, oldest first; none if that is not known any more.
    pub fn changes_since(&self, revision: u64) -> Option<impl Iterator<Item = &Change>> {
        self.changes.since(revision)
    }

    pub(super) fn record_change(&mut self, change: Change) {
        self.changes.record(self.revision, change);
    }

    /// The step that a task belongs to.
    pub fn step(&self, task: &id::Task) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task)
    }

    /// Progress of a task; none before its occurrence has begun.
    pub fn task(&self, task: &id::Task) -> Option<&TaskProgress> {
        let progress = self.progress(task)?;
        progress.tasks.get(usize::from(task.index))
    }

    /// Progress of the step of a task; none before its occurrence has begun.
    pub fn progress(&self, task: &id::Task) -> Option<&StepProgress> {
        let occurrence = self.occurrence(task.job, task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))
    }

    pub(super) fn progress_mut(&mut self, task: &id::Task) -> Option<&mut StepProgress> {
        let occurrence = self
            .jobs
            .get_mut(&task.job)?
            .occurrences
            .get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    pub(super) fn task_mut(&mut self, task: &id::Task) -> Option<&mut TaskProgress> {
        let progress = self.progress_mut(task)?;
        progress.tasks.get_mut(usize::from(task.index))
    }

    /// Progress of an occurrence; none before it has begun.
    pub fn occurrence(&self, job: id::Job, occurrence: u32) -> Option<&Occurrence> {
        self.jobs.get(&job)?.occurrences.get(&occurrence)
    }

    /// A run that may still be running.
    pub fn run(&self, task: &id::Task, number: u32) -> Option<&Run> {
        let task = self.task(task)?;
        task.live.iter().find(|run| run.number == number)
    }

    /// Whether a retained job ended before this time, in milliseconds since the Unix epoch.
    pub fn has_job_ended_before(&self, before_ms: u64) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| job.ended_ms.is_some_and(|ended_ms| ended_ms < before_ms))
    }

    /// Number of open jobs of the queue with this [endpoint](Queue::endpoint) of which no task is known to have started.
    pub fn unstarted_jobs(&self, endpoint: &str) -> usize {
        self.open_jobs()
            .filter(|job| job.queue == endpoint && !job.begun)
            .count()
    }

    /// Rebuilds the fields that are not part of a snapshot.
    pub(super) fn rebuild_index(&mut self) {
        self.open = IndexSet::default();
        self.live = IndexMap::default();
        for job in self.jobs.values() {
            if job.state == State::Open {
                self.open.insert(job.id);
            }
            for (task, run, resources) in job.live_runs() {
                let runs = self.live.entry(run.upstream.clone()).or_default();
                let allocation = Allocation {
                    resources,
                    born_ms: run.born_ms,
                };
                runs.insert((task, run.number), allocation);
            }
        }
    }
}

impl Job {
    /// Runs that may still be running, with the resources reserved for each.
    pub fn live_runs(&self) -> impl Iterator<Item = (id::Task, &Run, Resources)> {
        self.occurrences
            .iter()
            .flat_map(move |(number, occurrence)| {
                let steps = occurrence.steps.iter().zip(&self.form.steps).enumerate();
                steps.flat_map(move |(position, (progress, step))| {
                    let tasks = progress.tasks.iter().enumerate();
                    tasks.flat_map(move |(index, task)| {
                        let id = id::Task {
                            job: self.id,
                            occurrence: *number,
                            step: position as u16,
                            index: index as u16,
                        };
                        let resources = step.reserved();
                        task.live.iter().map(move |run| (id, run, resources))
                    })
                })
            })
    }
}
