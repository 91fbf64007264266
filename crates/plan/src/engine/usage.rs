use {
    super::{Engine, round::Round},
    work::{
        config::Queue,
        id,
        job::{Resources, Step},
        registry::Registry,
    },
};

/// A run that uses resources of an upstream.
struct UsedRun<'a> {
    task: id::Task,
    step: &'a Step,
    /// Queue of its job.
    queue: Option<&'a Queue>,
    resources: Resources,
    /// Whether it is being stopped.
    stopping: bool,
    /// Whether it may crash its upstream.
    suspect: bool,
}

/// Resources that the runs on an upstream use.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    /// Of all runs.
    pub all: Resources,
    /// Of the runs that are not being stopped.
    pub staying: Resources,
    /// Of urgent runs.
    pub urgent: Resources,
    /// Accelerators of runs that are not urgent.
    pub other_work: i64,
    /// Of single tasks that are not urgent and end by themselves.
    pub single_work: Resources,
    /// Whether one of the runs may crash the upstream.
    pub has_suspect: bool,
    /// Tasks of steps that are limited per upstream.
    pub limited_tasks: Vec<id::Task>,
}

impl Usage {
    fn add(&mut self, run: &UsedRun<'_>) {
        self.all += run.resources;
        if !run.stopping {
            self.staying += run.resources;
        }
        if run.queue.is_some_and(|queue| queue.priority == 0) {
            self.urgent += run.resources;
        } else {
            self.other_work += run.resources.accelerators;
            if !run.step.gang && !run.step.lasting {
                self.single_work += run.resources;
            }
        }
        self.has_suspect |= run.suspect;
        if run.step.spread.is_some() {
            self.limited_tasks.push(run.task);
        }
    }
}

/// Usage of upstreams. It is kept between planning rounds until something changes on the upstream.
impl Engine {
    /// Discards the usage of an upstream, on which a run has begun, ended, moved, been told to stop or made its first
    /// progress.
    pub(super) fn discard_usage(&mut self, upstream: &id::Upstream) {
        self.usages.swap_remove(upstream);
    }

    /// Computes the usages that were discarded.
    pub(super) fn refresh_usages(&mut self, registry: &Registry) {
        let config_version = registry.config().map(|config| config.version);
        if self.usage_config_version != config_version {
            self.usage_config_version = config_version;
            self.usages.clear();
        }
        for (upstream, runs) in registry.live_runs() {
            if self.usages.contains_key(upstream) {
                continue;
            }
            let mut usage = Usage::default();
            for (key, live) in runs {
                self.effort.planned += 1;
                let Some(job) = registry.job(key.0.job) else {
                    continue;
                };
                let Some(step) = job.step(&key.0) else {
                    continue;
                };
                let tracked = self.tracked_runs.get(key);
                let has_progress = tracked.is_some_and(|tracked| tracked.percent > 0);
                usage.add(&UsedRun {
                    task: key.0,
                    step,
                    queue: registry.queue(&job.queue),
                    resources: live.resources,
                    stopping: tracked.is_some_and(|tracked| tracked.stopping.is_some()),
                    suspect: !has_progress && is_suspect(registry, &key.0),
                });
            }
            self.usages.insert(upstream.clone(), usage);
        }
    }

    /// Subtracts the usages from the hosts of a round, with the placements that are proposed and not applied.
    pub(super) fn subtract_usages(&self, round: &mut Round<'_>) {
        let registry = round.registry;
        for (upstream, usage) in &self.usages {
            if let Some(known) = registry.upstream(upstream) {
                let urgent = round.urgent_usage.entry(&known.service).or_default();
                *urgent += usage.urgent;
            }
            if let Some(position) = round.positions.get(upstream) {
                round.hosts[*position].subtract(usage);
            }
        }
        for placement in self.placements_under_way() {
            let task = placement.task;
            let (Some(position), Some(job), Some(step)) = (
                round.positions.get(&placement.upstream).copied(),
                registry.job(task.job),
                registry.step(&task),
            ) else {
                continue;
            };
            // An applied placement is among the usages above.
            let is_applied = registry
                .task(&task)
                .is_some_and(|task| !task.live.is_empty());
            if is_applied {
                continue;
            }
            let mut usage = Usage::default();
            usage.add(&UsedRun {
                task,
                step,
                queue: registry.queue(&job.queue),
                resources: step.reserved(),
                stopping: false,
                suspect: is_suspect(registry, &task),
            });
            let host = &mut round.hosts[position];
            let urgent = round
                .urgent_usage
                .entry(&host.upstream.service)
                .or_default();
            *urgent += usage.urgent;
            host.subtract(&usage);
        }
    }
}

impl crate::place::Host<'_> {
    fn subtract(&mut self, usage: &Usage) {
        self.free -= usage.all;
        self.free_soon -= usage.staying;
        self.other_work += usage.other_work;
        self.single_work += usage.single_work;
        self.has_suspect |= usage.has_suspect;
        for task in &usage.limited_tasks {
            self.count_task(*task);
        }
    }
}

/// Whether the task may have crashed an upstream.
fn is_suspect(registry: &Registry, task: &id::Task) -> bool {
    let progress = registry.task(task);
    progress.is_some_and(|progress| progress.losses.is_suspect())
}
