use {
    super::{Blame, Registry, State},
    crate::{
        id,
        upstream::{End, Outcome},
    },
};

/// Ends of runs, and what follows for their tasks and jobs.
impl Registry {
    /// Records ends that are newer than the last recorded one, and applies those of runs that the registry has.
    pub(super) fn record_ends(&mut self, id: &id::Upstream, born_ms: u64, ends: Vec<End>) {
        for end in ends {
            let Some(record) = self.upstreams.get_mut(id) else {
                return;
            };
            if record.upstream.born_ms != born_ms || end.number <= record.last_end {
                continue;
            }
            record.last_end = end.number;
            // This incarnation may have carried out a start that was sent to an earlier one with the same id.
            let is_own_run = self
                .run(&end.task, end.run)
                .is_some_and(|run| run.upstream == *id && run.born_ms <= born_ms);
            if is_own_run {
                self.apply_end(id, end);
            }
        }
    }

    /// Applies the end of a run that the registry has.
    fn apply_end(&mut self, id: &id::Upstream, end: End) {
        self.remove_run(&end.task, end.run);
        self.begin_job(end.task.job);
        match end.how {
            Outcome::Done => self.finish_task(&end.task),
            Outcome::Failed => self.fail_task(id, &end),
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
        }
        if end.how != Outcome::Done {
            self.store_checkpoint(&end.task, end.checkpoint);
        }
    }

    /// Marks a task, or the whole gang that it belongs to, as done, and completes the job with its last task.
    fn finish_task(&mut self, task: &id::Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let definition = job.form.clone();
        let Some(step) = definition.steps.get(usize::from(task.step)) else {
            return;
        };
        if step.lasting {
            return;
        }
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else {
            return;
        };
        if let Some(progress) = occurrence.steps.get_mut(usize::from(task.step)) {
            for (index, state) in progress.tasks.iter_mut().enumerate() {
                state.done |= step.gang || index == usize::from(task.index);
            }
        }
        if occurrence.is_done() && !job.finished.contains(&task.occurrence) {
            job.finished.push(task.occurrence);
            if job.finished.len() as u32 >= definition.occurrences() {
                self.end_job(task.job, State::Completed);
            }
        }
    }

    /// Counts a failed run, once for all members of a gang, and fails the job when its attempts are used up.
    fn fail_task(&mut self, id: &id::Upstream, end: &End) {
        let task = &end.task;
        let attempts = self
            .jobs
            .get(&task.job)
            .and_then(|job| self.queues.get(&job.queue))
            .map_or(u32::MAX, |queue| queue.attempts.max(1));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let definition = job.form.clone();
        let (Some(step), Some(progress)) = (
            definition.steps.get(usize::from(task.step)),
            job.occurrences
                .get_mut(&task.occurrence)
                .and_then(|occurrence| occurrence.steps.get_mut(usize::from(task.step))),
        ) else {
            return;
        };
        let failures = if step.gang {
            if progress.gang_failed_run != end.run {
                progress.gang_failed_run = end.run;
                progress.gang_failures += 1;
            }
            progress.gang_failures
        } else {
            match progress.tasks.get_mut(usize::from(task.index)) {
                Some(state) => {
                    state.failures += 1;
                    state.failures
                }
                None => return,
            }
        };
        if let Some(state) = progress.tasks.get_mut(usize::from(task.index))
            && !state.failed_on.contains(id)
        {
            state.failed_on.push(id.clone());
        }
        if failures >= attempts && !step.lasting {
            self.end_job(task.job, State::Failed);
        }
    }

    /// Stores a checkpoint for the next run. The checkpoint of any member is valid for the whole gang.
    fn store_checkpoint(&mut self, task: &id::Task, checkpoint: String) {
        if checkpoint.is_empty() {
            return;
        }
        let gang = self.step(task).is_some_and(|step| step.gang);
        let Some(progress) = self.progress_mut(task) else {
            return;
        };
        for (index, state) in progress.tasks.iter_mut().enumerate() {
            if gang || index == usize::from(task.index) {
                state.checkpoint.clone_from(&checkpoint);
            }
        }
    }

    /// Removes a run that is over without a reported end, and fails its job if the task is given up.
    pub(super) fn void_run(&mut self, task: &id::Task, run: u32, checkpoint: String, blame: Blame) {
        if self.remove_run(task, run).is_none() {
            return;
        }
        self.store_checkpoint(task, checkpoint);
        if blame != Blame::None && self.record_loss(task, run, blame) {
            self.end_job(task.job, State::Failed);
        }
    }

    /// Records that an upstream was lost with a run of the task, for a gang also once for all members of its run.
    /// Returns whether the task is given up.
    fn record_loss(&mut self, task: &id::Task, run: u32, blame: Blame) -> bool {
        let time_ms = self.time_ms;
        let gang = self.step(task).is_some_and(|step| step.gang);
        let Some(progress) = self.progress_mut(task) else {
            return false;
        };
        if gang && progress.gang_lost_run != run {
            progress.gang_lost_run = run;
            // Another member may have crashed another upstream in each run, so no member is proved at fault.
            let blame = match blame {
                Blame::Sole => Blame::Shared,
                other => other,
            };
            progress.gang_losses.record(blame, time_ms);
        }
        let is_gang_given_up = progress.gang_losses.is_too_many();
        match progress.tasks.get_mut(usize::from(task.index)) {
            Some(state) => {
                state.losses.record(blame, time_ms);
                is_gang_given_up || state.losses.is_too_many()
            }
            None => is_gang_given_up,
        }
    }
}
