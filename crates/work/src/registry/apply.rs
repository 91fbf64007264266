use {
    super::{
        Allocation, Answer, Change, Command, Job, Occurrence, Placement, Registry, Run, State,
        Update, registry::Record,
    },
    crate::{collections::IndexMap, id, job::Definition, upstream::Upstream},
};

impl Registry {
    /// Applies a committed command. Deterministic: all replicas get the same result.
    pub fn apply(&mut self, command: Command) -> Answer {
        self.revision += 1;
        match command {
            Command::Configure { at_ms, config } => {
                self.advance_clock(at_ms);
                self.configure(*config);
                Answer::Done
            }
            Command::Submit {
                at_ms,
                job,
                account,
                queue,
                form,
            } => {
                self.advance_clock(at_ms);
                self.submit(job, account, queue, *form)
            }
            Command::Cancel { at_ms, job } => {
                self.advance_clock(at_ms);
                match self.jobs.contains_key(&job) {
                    true => {
                        self.end_job(job, State::Cancelled);
                        Answer::Cancelled
                    }
                    false => Answer::Missing,
                }
            }
            Command::Register { upstream } => {
                self.register(*upstream);
                Answer::Done
            }
            Command::Leave { upstream, born_ms } => {
                self.remove_upstream(&upstream, born_ms);
                Answer::Done
            }
            Command::Progress { at_ms, steps } => {
                self.advance_clock(at_ms);
                let mut runs = Vec::new();
                for update in steps {
                    self.apply_update(update, &mut runs);
                }
                Answer::Runs(runs)
            }
            Command::Evacuate {
                at_ms,
                data_centre,
                instruction,
            } => {
                self.advance_clock(at_ms);
                self.order_evacuation(data_centre, instruction)
            }
        }
    }

    /// Encodes the registry for a snapshot.
    pub fn save(&self) -> Result<Vec<u8>, postcard::Error> {
        self.save_evacuations(postcard::to_stdvec(self)?)
    }

    /// Restores the registry from a snapshot.
    pub fn load(bytes: &[u8]) -> Result<Registry, postcard::Error> {
        let (mut registry, rest): (Registry, _) = postcard::take_from_bytes(bytes)?;
        registry.load_evacuations(rest)?;
        registry.rebuild_index();
        registry.identify_queues_by_endpoint();
        registry.follow_configuration();
        Ok(registry)
    }

    /// Moves the replicated clock forward; it never goes back.
    fn advance_clock(&mut self, at_ms: u64) {
        self.time_ms = self.time_ms.max(at_ms);
    }

    fn submit(
        &mut self,
        id: id::Job,
        account: Option<String>,
        queue: String,
        definition: Definition,
    ) -> Answer {
        let queue = self.endpoint_of(queue);
        if let Some(known) = self.jobs.get_mut(&id) {
            // An earlier build referred to the queue by a name that it no longer had.
            if !self.queues.contains_key(&known.queue) && known.account == account {
                known.queue.clone_from(&queue);
            }
            return match known.queue == queue && known.account == account {
                true => Answer::Accepted,
                false => Answer::Taken,
            };
        }
        let job = Job {
            id,
            account,
            queue,
            form: definition.into(),
            accepted_ms: self.time_ms,
            ended_ms: None,
            state: State::Open,
            begun: false,
            occurrences: IndexMap::default(),
            finished: Vec::new(),
        };
        self.jobs.insert(id, job);
        self.open.insert(id);
        Answer::Accepted
    }

    /// Ends an open job. Its runs stay in the registry until they have ended too.
    pub(super) fn end_job(&mut self, id: id::Job, state: State) {
        let time_ms = self.time_ms;
        if let Some(job) = self.jobs.get_mut(&id)
            && job.state == State::Open
        {
            job.state = state;
            job.ended_ms = Some(time_ms);
            self.open.shift_remove(&id);
            self.record_change(Change::JobEnded(id, state));
        }
    }

    /// Adds or updates an upstream, unless a later incarnation of it is known. An incarnation that drains never takes
    /// work again.
    fn register(&mut self, mut upstream: Upstream) {
        self.record_change(Change::Upstream(upstream.id.clone()));
        let record = self.upstreams.get_mut(&upstream.id);
        match record {
            Some(record) if record.upstream.born_ms > upstream.born_ms => {}
            Some(record) if record.upstream.born_ms == upstream.born_ms => {
                upstream.draining |= record.upstream.draining;
                record.upstream = upstream;
            }
            _ => {
                let id = upstream.id.clone();
                let last_end = 0;
                self.upstreams.insert(id, Record { upstream, last_end });
            }
        }
    }

    /// Removes an upstream and all runs on it.
    fn remove_upstream(&mut self, id: &id::Upstream, born_ms: u64) {
        let record = self.upstreams.get(id);
        if record.is_none_or(|record| record.upstream.born_ms != born_ms) {
            return;
        }
        self.upstreams.shift_remove(id);
        self.record_change(Change::Upstream(id.clone()));
        let runs: Vec<_> = self.allocations_on(id).map(|(run, _)| *run).collect();
        for (task, run) in runs {
            self.remove_run(&task, run);
        }
    }

    fn apply_update(&mut self, update: Update, runs: &mut Vec<(id::Task, Option<u32>)>) {
        match update {
            Update::Assign(placements) => self.assign(placements, runs),
            Update::Ended {
                upstream,
                born_ms,
                ends,
            } => self.record_ends(&upstream, born_ms, ends),
            Update::Void {
                task,
                run,
                checkpoint,
                blame,
                ..
            } => self.void_run(&task, run, checkpoint, blame),
            Update::Running { task, run, born_ms } => self.confirm_run(&task, run, born_ms),
            Update::Expire { before_ms } => {
                self.jobs.retain(|_, job| {
                    job.ended_ms.is_none_or(|ended_ms| ended_ms >= before_ms)
                        || job.live_runs().next().is_some()
                });
                self.drop_unused_queues();
            }
            Update::Forget { upstream, born_ms } => self.remove_upstream(&upstream, born_ms),
        }
    }

    /// Begins runs for all placements of an update, or for none of them if one is not allowed.
    fn assign(&mut self, placements: Vec<Placement>, runs: &mut Vec<(id::Task, Option<u32>)>) {
        let allowed = placements
            .iter()
            .all(|placement| self.may_assign(placement))
            && self.is_whole_gang(&placements);
        for placement in placements {
            let number = if allowed {
                self.begin_run(&placement)
            } else {
                None
            };
            runs.push((placement.task, number));
        }
    }

    fn may_assign(&self, placement: &Placement) -> bool {
        let task = &placement.task;
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job.step(task) else {
            return false;
        };
        let record = self.upstreams.get(&placement.upstream);
        if job.state != State::Open
            || task.index >= step.count
            || !job.is_pending(task.occurrence)
            || record.is_none_or(|record| {
                record.upstream.born_ms != placement.born_ms
                    || self.is_evacuated(&record.upstream.data_centre)
            })
        {
            return false;
        }
        let Some(occurrence) = job.occurrences.get(&task.occurrence) else {
            return step.after.is_empty();
        };
        let progress = self.task(task);
        occurrence.is_ready(&job.form, usize::from(task.step))
            && progress.is_some_and(|progress| {
                !progress.done && (progress.live.is_empty() || (step.copies && !step.gang))
            })
    }

    /// Whether the placements cover a whole gang; always true for single tasks.
    fn is_whole_gang(&self, placements: &[Placement]) -> bool {
        let Some(first) = placements.first() else {
            return true;
        };
        let Some(step) = self.step(&first.task) else {
            return false;
        };
        !step.gang || placements.len() == usize::from(step.count)
    }

    fn begin_run(&mut self, placement: &Placement) -> Option<u32> {
        let time_ms = self.time_ms;
        let task = placement.task;
        let job = self.jobs.get_mut(&task.job)?;
        let definition = job.form.clone();
        let step = definition.steps.get(usize::from(task.step))?;
        let occurrence = job
            .occurrences
            .entry(task.occurrence)
            .or_insert_with(|| Occurrence::new(&definition));
        let progress = occurrence.steps.get_mut(usize::from(task.step))?;
        let is_first_member = task.index == 0;
        if step.gang && is_first_member {
            let last = progress.tasks.iter().map(|task| task.last_run).max();
            progress.gang_run = progress.gang_run.max(last.unwrap_or(0)) + 1;
        }
        let gang_run = progress.gang_run;
        let state = progress.tasks.get_mut(usize::from(task.index))?;
        let number = if step.gang {
            gang_run
        } else {
            state.last_run + 1
        };
        state.last_run = number;
        state.live.push(Run {
            number,
            upstream: placement.upstream.clone(),
            born_ms: placement.born_ms,
            assigned_ms: time_ms,
        });
        let allocation = Allocation {
            resources: step.reserved(),
            born_ms: placement.born_ms,
        };
        let runs = self.live.entry(placement.upstream.clone()).or_default();
        runs.insert((task, number), allocation);
        self.record_change(Change::Run {
            task,
            run: number,
            upstream: placement.upstream.clone(),
        });
        Some(number)
    }

    /// Removes a run and its allocation; returns the run if it existed.
    pub(super) fn remove_run(&mut self, task: &id::Task, number: u32) -> Option<Run> {
        let state = self.task_mut(task)?;
        let position = state.live.iter().position(|run| run.number == number)?;
        let run = state.live.remove(position);
        if let Some(runs) = self.live.get_mut(&run.upstream) {
            runs.swap_remove(&(*task, number));
            if runs.is_empty() {
                self.live.swap_remove(&run.upstream);
            }
        }
        self.record_change(Change::Run {
            task: *task,
            run: number,
            upstream: run.upstream.clone(),
        });
        Some(run)
    }

    /// Takes note that an incarnation of its upstream runs the task.
    fn confirm_run(&mut self, task: &id::Task, number: u32, born_ms: u64) {
        let Some(run) = self.run(task, number) else {
            return;
        };
        let is_moved = run.born_ms != born_ms;
        self.begin_job(task.job);
        if is_moved {
            self.move_run(task, number, born_ms);
        }
    }

    /// Records that a task of the job has started.
    pub(super) fn begin_job(&mut self, id: id::Job) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.begun = true;
        }
    }

    /// Moves a run to another incarnation of its upstream.
    fn move_run(&mut self, task: &id::Task, number: u32, born_ms: u64) {
        let Some(run) = self.remove_run(task, number) else {
            return;
        };
        let Some(resources) = self.step(task).map(|step| step.reserved()) else {
            return;
        };
        let upstream = run.upstream.clone();
        let moved = Run { born_ms, ..run };
        if let Some(state) = self.task_mut(task) {
            state.live.push(moved);
            let runs = self.live.entry(upstream).or_default();
            runs.insert((*task, number), Allocation { resources, born_ms });
        }
    }
}
