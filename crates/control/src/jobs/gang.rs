use {
    super::{
        Context,
        orders::{Contact, Orders},
    },
    crate::fault::{self, Fault},
    crate::state::Step,
    model::{
        job::{Job, State},
        worker::{Action, Task, TaskState},
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Notify, mpsc},
        time,
    },
};

/// Wait for the answer to one round of orders.
const ORDER_LIMIT: Duration = Duration::from_millis(1000);

/// Rounds of orders that give back the reservations of an attempt that ended before its start. After them the
/// leases free what is left.
const GIVE_BACK_TRIES: u32 = 3;

/// Pause before a round of orders is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a gang reports of a worker.
pub(super) enum Failure {
    /// A task of the job ended there without success.
    Task { job: u64, worker: String },
    /// It did not hold what it was asked to reserve.
    Reservation { worker: String },
}

/// Carries one attempt of one job from its recorded state to its end.
pub(super) struct Gang {
    pub(super) context: Context,
    pub(super) id: u64,
    pub(super) token: u64,
    /// Signalled when the job changed or one of its workers announced something.
    pub(super) wake: Arc<Notify>,
    pub(super) failures: mpsc::UnboundedSender<Failure>,
}

impl Gang {
    /// Runs until the attempt has ended or this instance no longer leads.
    pub(super) async fn run(self) {
        let Some(job) = self.job() else { return };
        let Some(attempt) = &job.attempt else { return };
        let mut orders = Orders::new(&self.context, attempt);
        while let Some(job) = self.job() {
            if self.context.group.view().leading_since.is_none() {
                return;
            }
            match job.state {
                State::Placed => self.reserve(&job, &mut orders).await,
                State::Starting => self.start(&job, &mut orders).await,
                State::Running => self.watch(&job, &mut orders).await,
                State::Stopping => self.stop(&job, &mut orders).await,
                _ => break,
            }
        }
        // A reservation whose job was cancelled or released is given back, also where its answer was lost.
        for _ in 0..GIVE_BACK_TRIES {
            let reserved = |contact: &Contact| {
                let held = |task: &Task| task.state == TaskState::Reserved;
                contact.tasks.is_empty() || contact.tasks.iter().any(held)
            };
            let (Some(job), true) = (self.last(), orders.contacts.values().any(reserved)) else {
                return;
            };
            orders
                .send(&self.context, &job, Action::Stop, ORDER_LIMIT, reserved)
                .await;
            if orders.contacts.values().any(reserved) {
                self.pause().await;
            }
        }
    }

    /// The job as committed, while this attempt is its current one and has not ended.
    fn job(&self) -> Option<Job> {
        self.last().filter(|job| job.state.holds())
    }

    fn last(&self) -> Option<Job> {
        let job = self.context.group.state().jobs().get(self.id).cloned()?;
        let current = job.attempt.as_ref().is_some_and(|a| a.token == self.token);
        current.then_some(job)
    }

    async fn reserve(&self, job: &Job, orders: &mut Orders) {
        if !self.context.leads() {
            return self.pause().await;
        }
        let reason = match self.context.may_send(job) {
            Err(reason) => reason,
            Ok(()) => {
                let limit = self.context.settings.reserve_limit;
                orders
                    .send(&self.context, job, Action::Reserve, limit, |_| true)
                    .await;
                match self.unreserved(job, orders) {
                    None => {
                        if self.context.advance(job, Step::Start).await.is_none() {
                            self.pause().await;
                        }
                        return;
                    }
                    Some(reason) => {
                        self.report_refusals(orders);
                        reason
                    }
                }
            }
        };
        log::info!(
            "event=reservation_failed job={} token={} reason=\"{reason}\"",
            job.id,
            self.token
        );
        if self
            .context
            .advance(job, Step::Release { reason })
            .await
            .is_none()
        {
            self.pause().await;
        }
    }

    /// Without these reports the job would be placed on the same workers again and again.
    fn report_refusals(&self, orders: &Orders) {
        let held = |task: &Task| task.state == TaskState::Reserved && task.token == self.token;
        for (worker, contact) in &orders.contacts {
            if contact.tasks.is_empty() || !contact.tasks.iter().all(held) {
                let worker = worker.clone();
                drop(self.failures.send(Failure::Reservation { worker }));
            }
        }
    }

    fn unreserved(&self, job: &Job, orders: &Orders) -> Option<String> {
        let reserved = orders
            .tasks()
            .filter(|(_, task)| task.state == TaskState::Reserved && task.token == self.token)
            .count();
        let members = job.attempt.as_ref().map_or(0, |a| a.members.len());
        if reserved == members || (reserved > 0 && fault::is(Fault::StartWithoutAllReserved)) {
            return None;
        }
        let refused = orders
            .tasks()
            .find(|(_, task)| task.state != TaskState::Reserved)
            .map(|(worker, task)| format!("worker {worker} refused: {}", task.detail));
        let silent = || {
            let (name, contact) = orders.contacts.iter().find(|(_, c)| c.tasks.is_empty())?;
            Some(format!("worker {name}: {}", contact.error))
        };
        refused
            .or_else(silent)
            .or_else(|| Some("not all tasks are reserved".into()))
    }

    async fn start(&self, job: &Job, orders: &mut Orders) {
        let begin = self.context.clock.now();
        loop {
            if !self.context.leads() {
                return self.pause().await;
            }
            if let Err(reason) = self.context.may_send(job) {
                return self.halt(job, reason, false).await;
            }
            let settled = |state| matches!(state, TaskState::Running | TaskState::Done);
            orders
                .send(&self.context, job, Action::Start, ORDER_LIMIT, |contact| {
                    !contact.tasks.iter().all(|task| settled(task.state))
                        || contact.tasks.is_empty()
                })
                .await;
            let states: Vec<_> = orders.tasks().map(|(_, task)| task.state).collect();
            let members = job.attempt.as_ref().map_or(0, |a| a.members.len());
            if states.len() == members && states.iter().all(|state| settled(*state)) {
                if self.context.advance(job, Step::Run).await.is_none() {
                    self.pause().await;
                }
                return;
            }
            if let Some(reason) = self.broken(orders) {
                return self.halt(job, reason, true).await;
            }
            let late = self.context.clock.now() - begin > self.context.settings.start_limit;
            if late {
                return self
                    .halt(job, "not all tasks started in time".into(), true)
                    .await;
            }
            if self.job().is_none_or(|job| job.state != State::Starting) {
                return;
            }
            self.pause().await;
        }
    }

    async fn watch(&self, job: &Job, orders: &mut Orders) {
        // Renewals stop when this instance no longer leads, so that the leases end by themselves.
        if !self.context.leads() {
            return self.pause().await;
        }
        orders
            .send(&self.context, job, Action::Renew, ORDER_LIMIT, |_| true)
            .await;
        let members = job.attempt.as_ref().map_or(0, |a| a.members.len());
        let done = orders
            .tasks()
            .filter(|(_, task)| task.state == TaskState::Done);
        if done.count() == members {
            return self.finish(job, orders).await;
        }
        if let Some(reason) = self.broken(orders) {
            return self.halt(job, reason, true).await;
        }
        let now = self.context.clock.now();
        let lease = self.context.settings.lease;
        let silent = orders
            .contacts
            .iter()
            .find(|(_, c)| now - c.answered > lease);
        if let Some((name, contact)) = silent {
            let reason = format!("worker {name} is silent: {}", contact.error);
            return self.halt(job, reason, true).await;
        }
        drop(time::timeout(self.context.settings.renew_every, self.wake.notified()).await);
    }

    /// The reason for which the gang must stop, if some task will not run to its end.
    fn broken(&self, orders: &Orders) -> Option<String> {
        let (worker, task) = orders.tasks().find(|(_, task)| {
            matches!(
                task.state,
                TaskState::Failed | TaskState::Stopped | TaskState::Refused | TaskState::Absent
            )
        })?;
        if task.state == TaskState::Failed {
            drop(self.failures.send(Failure::Task {
                job: self.id,
                worker: worker.to_owned(),
            }));
        }
        let state = format!("{:?}", task.state).to_lowercase();
        Some(format!(
            "task {} {state} on worker {worker}: {}",
            task.task, task.detail
        ))
    }

    async fn halt(&self, job: &Job, reason: String, failed: bool) {
        log::info!(
            "event=gang_stopping job={} token={} reason=\"{reason}\"",
            job.id,
            self.token
        );
        if self
            .context
            .advance(job, Step::Stop { reason, failed })
            .await
            .is_none()
        {
            self.pause().await;
        }
    }

    /// Stops every task; the attempt ends when each worker has confirmed or its lease is over.
    async fn stop(&self, job: &Job, orders: &mut Orders) {
        let over = self.context.settings.lease_over();
        loop {
            let now = self.context.clock.now();
            let ended = |state| {
                matches!(
                    state,
                    TaskState::Stopped | TaskState::Done | TaskState::Failed | TaskState::Absent
                )
            };
            let stopped = |contact: &Contact| {
                !contact.tasks.is_empty() && contact.tasks.iter().all(|task| ended(task.state))
            };
            let open = orders
                .contacts
                .values()
                .filter(|contact| !stopped(contact) && now < contact.leased + over)
                .count();
            if open == 0 || fault::is(Fault::RequeueBeforeLeaseEnd) {
                break;
            }
            orders
                .send(&self.context, job, Action::Stop, ORDER_LIMIT, |c| {
                    !stopped(c)
                })
                .await;
            if orders.contacts.values().all(stopped) {
                break;
            }
            if self.context.group.view().leading_since.is_none() {
                return;
            }
            self.pause().await;
        }
        self.settle(job, orders).await;
    }

    async fn settle(&self, job: &Job, orders: &Orders) {
        let members = job.attempt.as_ref().map_or(0, |a| a.members.len());
        let done = orders
            .tasks()
            .filter(|(_, task)| task.state == TaskState::Done);
        if done.count() == members && !job.cancelled {
            return self.finish(job, orders).await;
        }
        let failed = orders
            .tasks()
            .find(|(_, task)| task.state == TaskState::Failed);
        let step = match failed {
            Some((worker, task)) if !job.spec.repeatable && !job.cancelled => Step::End {
                state: State::Failed,
                detail: format!(
                    "task {} failed on worker {worker}: {}",
                    task.task, task.detail
                ),
            },
            _ => Step::Requeue {
                reason: job.detail.clone(),
            },
        };
        if self.context.advance(job, step).await.is_none() {
            self.pause().await;
        }
    }

    async fn finish(&self, job: &Job, orders: &Orders) {
        let results: Vec<&str> = orders
            .tasks()
            .map(|(_, task)| task.detail.as_str())
            .filter(|detail| !detail.is_empty())
            .collect();
        let step = Step::End {
            state: State::Done,
            detail: results.join("; "),
        };
        if self.context.advance(job, step).await.is_none() {
            self.pause().await;
        }
    }

    async fn pause(&self) {
        time::sleep(RETRY_PAUSE).await;
    }
}
