use {
    super::{Rank, Strategy, Unit},
    crate::{engine::Settings, learn::Estimator},
    std::time::Duration,
    work::{
        collections::{IndexMap, IndexSet},
        config::Queue,
        id,
        job::Step,
        registry::{Job, Occurrence, Registry, TaskProgress},
    },
};

/// Longest time that upstreams take to stop a run for which gangs with checkpoints may use the accelerators kept free
/// for urgent work. Urgent work has about a second of slack for the stop, the commit and its own start.
const QUICK_STOP: Duration = Duration::from_millis(500);

/// The same for single tasks with checkpoints. An urgent gang that takes their place waits for the slowest of many stops,
/// while a gang is stopped as one.
const QUICK_SINGLE_STOP: Duration = Duration::from_millis(250);

/// Limit of the occurrences of a job that are considered at once.
const MAX_DUE: usize = 64;

/// Time for which a task that may have crashed an upstream waits for one that runs nothing else. A task whose turn has
/// come must not wait for 3 s beside free capacity, as the platform counts it as lost then.
const ISOLATION_WAIT_MS: u64 = 1500;

/// Lists the work that is ready, highest rank first. Leaves out the tasks in `assigned`, whose assignment is not
/// committed yet.
pub fn ready_units<'a>(
    registry: &'a Registry,
    estimator: &Estimator,
    time_ms: u64,
    settings: &Settings,
    assigned: &IndexSet<id::Task>,
) -> Vec<Unit<'a>> {
    let guaranteed = guaranteed_accounts(registry);
    let mut units = Vec::new();
    for job in registry.open_jobs() {
        let Some(queue) = registry.queue(&job.queue) else {
            continue;
        };
        let is_guaranteed = queue.priority == 0
            && job
                .account
                .as_deref()
                .is_some_and(|account| guaranteed.contains(account));
        for number in due_occurrences(job, time_ms, settings.early_start) {
            let job_units = JobUnits {
                registry,
                estimator,
                job,
                queue,
                time_ms,
                is_guaranteed,
                stop_timeout: settings.stop_timeout,
            };
            job_units.add_occurrence(number, assigned, &mut units);
        }
    }
    match settings.strategy {
        Strategy::Worth => {}
        Strategy::Arrival => {
            for unit in &mut units {
                unit.rank = Rank::OnTime(1);
                unit.start_by_ms = unit.ready_since_ms as f64;
            }
        }
        Strategy::Deadline => {
            for unit in &mut units {
                unit.rank = Rank::OnTime(1);
            }
        }
        Strategy::Priority => {
            for unit in &mut units {
                unit.rank = match unit.priority {
                    0 => Rank::Urgent,
                    priority => Rank::OnTime(priority),
                };
                unit.start_by_ms = unit.ready_since_ms as f64;
            }
        }
    }
    units.sort_by(|a, b| {
        (a.rank, a.start_by_ms)
            .partial_cmp(&(b.rank, b.start_by_ms))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    units
}

/// Accounts whose open jobs of priority 0 need no more accelerators than the account is guaranteed.
pub fn guaranteed_accounts(registry: &Registry) -> IndexSet<&str> {
    let Some(config) = registry.config() else {
        return IndexSet::default();
    };
    let mut needed: IndexMap<&str, i64> = IndexMap::default();
    for job in registry.open_jobs() {
        let urgent = registry
            .queue(&job.queue)
            .is_some_and(|queue| queue.priority == 0);
        if let (true, Some(account)) = (urgent, &job.account) {
            *needed.entry(account).or_default() += job.form.accelerators();
        }
    }
    let within = |account: &&work::config::Account| {
        account.guaranteed > 0
            && needed.get(account.name.as_str()).copied().unwrap_or(0) <= account.guaranteed
    };
    let accounts = config.accounts.iter().filter(within);
    accounts.map(|account| account.name.as_str()).collect()
}

/// Numbers of the occurrences that are due and not finished.
fn due_occurrences(job: &Job, time_ms: u64, early_start: Duration) -> Vec<u32> {
    // Only half of the tolerance is used; the rest allows for clock differences.
    let early_ms = early_start.as_millis() as u64 / 2;
    let count = job.form.occurrences();
    (0..count)
        .take_while(|number| job.form.repeat.is_none() || job.due_ms(*number) <= time_ms + early_ms)
        .filter(|number| job.is_pending(*number))
        .take(MAX_DUE)
        .collect()
}

/// Inputs that the units of one job have in common.
struct JobUnits<'a, 'p> {
    registry: &'a Registry,
    estimator: &'p Estimator,
    job: &'a Job,
    queue: &'a Queue,
    time_ms: u64,
    is_guaranteed: bool,
    stop_timeout: Duration,
}

impl<'a> JobUnits<'a, '_> {
    fn add_occurrence(
        &self,
        number: u32,
        assigned: &IndexSet<id::Task>,
        units: &mut Vec<Unit<'a>>,
    ) {
        let (job, queue) = (self.job, self.queue);
        let occurrence = job.occurrences.get(&number);
        let (critical_path_ms, remaining_ms) = self.critical_paths(occurrence);
        let base_ms = job.due_ms(number);
        let objective_ms = queue.stretch * critical_path_ms + queue.objective_ms as f64;
        for (position, step) in job.form.steps.iter().enumerate() {
            let first_task = id::Task {
                job: job.id,
                occurrence: number,
                step: position as u16,
                index: 0,
            };
            let is_open = match occurrence {
                Some(occurrence) => occurrence.is_ready(&job.form, position),
                None => step.after.is_empty(),
            };
            let tasks = if is_open {
                self.ready_tasks(first_task, assigned)
            } else {
                Vec::new()
            };
            if tasks.is_empty() {
                continue;
            }
            let elapsed_ms = self.time_ms as f64 - base_ms as f64;
            let own_ms = self.estimator.expected_ms(job, step);
            let rank = match self.is_guaranteed && self.registry.progress(&first_task).is_none() {
                true => Rank::Guaranteed,
                false => Rank::new(
                    queue.priority,
                    elapsed_ms + remaining_ms[position],
                    objective_ms,
                ),
            };
            let progress = self.registry.progress(&first_task);
            let failures = progress.map_or(0, |progress| progress.failed_runs());
            let failed_on = progress.map_or_else(Vec::new, |progress| {
                let tasks = progress.tasks.iter();
                tasks.flat_map(|task| task.failed_on.clone()).collect()
            });
            let unit = Unit {
                first_task,
                step,
                tasks,
                resources: step.reserved(),
                service: &queue.service,
                account: job.account.as_deref(),
                priority: queue.priority,
                rank,
                start_by_ms: base_ms as f64 + objective_ms - remaining_ms[position],
                expected_ms: own_ms,
                left_ms: objective_ms - elapsed_ms - remaining_ms[position] + own_ms,
                ready_since_ms: base_ms.max(job.accepted_ms),
                last_chance: !step.lasting && failures > 0 && failures + 1 >= queue.attempts,
                needs_advice: queue.advice.is_some(),
                yields_quickly: self.yields_quickly(step),
                suspect: false,
                isolated: false,
                failed_on,
            };
            let (suspects, others) = unit.split(progress, |task| task.losses.is_suspect());
            units.extend(others);
            let Some(suspects) = suspects else {
                continue;
            };
            // Losses of other tasks must not prolong the wait of a task.
            let waits =
                |task: &TaskProgress| self.time_ms < task.losses.latest_ms + ISOLATION_WAIT_MS;
            let suspects = Unit {
                suspect: true,
                ..suspects
            };
            let (isolated, others) = suspects.split(progress, waits);
            units.extend(others);
            units.extend(isolated.map(|unit| Unit {
                isolated: true,
                ..unit
            }));
        }
    }

    /// Whether tasks of a step lose little and make urgent work wait only briefly when they are preempted.
    fn yields_quickly(&self, step: &Step) -> bool {
        let limit = match step.gang {
            true => QUICK_STOP,
            false => QUICK_SINGLE_STOP,
        };
        step.checkpoints && self.stop_timeout <= limit
    }

    /// Indexes of the tasks of a step that need a run; for a gang all of them or none.
    fn ready_tasks(&self, first_task: id::Task, assigned: &IndexSet<id::Task>) -> Vec<u16> {
        let Some(step) = self.job.step(&first_task) else {
            return Vec::new();
        };
        let progress = self.registry.progress(&first_task);
        let is_ready = |index: &u16| {
            let task = id::Task {
                index: *index,
                ..first_task
            };
            let state = progress.and_then(|progress| progress.tasks.get(usize::from(*index)));
            !assigned.contains(&task)
                && state.is_none_or(|state| !state.done && state.live.is_empty())
        };
        let ready: Vec<u16> = (0..step.count).filter(is_ready).collect();
        match step.gang && ready.len() < usize::from(step.count) {
            true => Vec::new(),
            false => ready,
        }
    }

    /// Expected duration of the critical path, and for each step that of the longest path from it to the end, in
    /// milliseconds. The former includes failed runs, the latter leaves out steps that are done.
    fn critical_paths(&self, occurrence: Option<&Occurrence>) -> (f64, Vec<f64>) {
        let steps = &self.job.form.steps;
        let mut remaining = vec![0.0_f64; steps.len()];
        let mut total = vec![0.0_f64; steps.len()];
        for position in (0..steps.len()).rev() {
            let own = self.estimator.expected_ms(self.job, &steps[position]);
            let later = |chains: &[f64]| {
                let waiting = steps
                    .iter()
                    .enumerate()
                    .filter(|(_, step)| step.after.contains(&(position as u16)));
                waiting
                    .map(|(number, _)| chains[number])
                    .fold(0.0, f64::max)
            };
            let done = occurrence
                .and_then(|occurrence| occurrence.steps.get(position))
                .is_some_and(|progress| progress.is_done());
            // The objective allows for the time of runs that failed because of the job itself. The registry does not
            // tell them from runs that failed because of their upstream.
            let failed = occurrence
                .and_then(|occurrence| occurrence.steps.get(position))
                .map_or(0, |progress| progress.failed_runs());
            total[position] = own * f64::from(1 + failed) + later(&total);
            remaining[position] = later(&remaining) + if done { 0.0 } else { own };
        }
        (total.into_iter().fold(0.0, f64::max), remaining)
    }
}
