use {
    super::{Context, Findings, lead::Lead},
    crate::worker::Seen,
    gang::{Preview, Scheduler, Settings, Shortfall},
    model::{config::Config, job::Spec},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, task::JoinHandle, time},
};

/// Why a new leader does not answer for its workers yet.
pub(crate) const NOT_SETTLED: &str =
    "the leader has just changed and does not know the workers yet";

/// Time after the settling of a new leader for its first round. Both together are below the limit of a call.
const SETTLE_MARGIN: Duration = Duration::from_millis(300);

/// The running controller of one region group; it acts while this replica leads.
#[derive(Clone)]
pub struct Controller {
    context: Context,
    scheduler: Arc<Mutex<Scheduler>>,
    /// Counts the rounds of a settled leader.
    rounds: watch::Receiver<u64>,
    task: Arc<JoinHandle<()>>,
}

impl Controller {
    /// Starts the controller on the current runtime.
    pub fn spawn(context: Context) -> Controller {
        let scheduler = Arc::new(Mutex::new(Scheduler::new(Settings::default())));
        let (sender, rounds) = watch::channel(0);
        let task = tokio::spawn(run(context.clone(), scheduler.clone(), sender));
        Controller {
            context,
            scheduler,
            rounds,
            task: Arc::new(task),
        }
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether this replica leads and has led for long enough to know the workers.
    pub fn is_settled(&self) -> bool {
        *self.rounds.borrow() > 0
    }

    /// Waits until this replica has led for long enough to know the workers. Fails if it does not lead.
    pub async fn wait_settled(&self) -> Result<(), String> {
        let mut rounds = self.rounds.clone();
        let limit = self.context.settings.settle + SETTLE_MARGIN;
        match time::timeout(limit, rounds.wait_for(|done| *done > 0)).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(NOT_SETTLED.into()),
        }
    }

    /// Waits until the scheduler knows everything that this instance heard before the call.
    ///
    /// Fails if this replica does not lead or has led for too short a time to know the workers.
    pub async fn catch_up(&self) -> Result<(), String> {
        let mut rounds = self.rounds.clone();
        // The round in progress may have begun before the call, so the one after it is awaited.
        let wanted = *rounds.borrow_and_update() + 2;
        let limit = self.context.settings.settle;
        match time::timeout(limit, rounds.wait_for(|done| *done >= wanted)).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(NOT_SETTLED.into()),
        }
    }

    /// Why a job waits, in one line.
    pub fn explain(&self, job: u64) -> Option<String> {
        self.scheduler().explain(job)
    }

    /// Tells whether the guarantees of a configuration can be proved on the known workers.
    pub fn check(&self, config: &Config) -> Result<(), Vec<Shortfall>> {
        self.scheduler().check(config)
    }

    /// Tells whether some known worker or rack could hold the job.
    pub fn can_run(&self, spec: &Spec) -> Result<(), String> {
        self.scheduler().can_run(spec)
    }

    /// Tells what would become of a job if it was submitted now.
    pub fn preview(&self, spec: &Spec) -> Preview {
        // The copy is made under the lock, and decided on outside of it.
        let scheduler = self.scheduler().clone();
        scheduler.preview(spec, self.context.clock.now())
    }

    /// The workers heard of.
    pub fn workers(&self) -> Vec<Seen> {
        self.context.registry.list()
    }

    /// What the leader found out.
    pub fn findings(&self) -> &Findings {
        &self.context.findings
    }

    /// Ends the controller and the gangs' tasks; what runs on workers goes on under its leases.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn run(context: Context, scheduler: Arc<Mutex<Scheduler>>, rounds: watch::Sender<u64>) {
    let mut lead: Option<(u64, Lead)> = None;
    loop {
        time::sleep(context.settings.tick).await;
        let view = context.group.view();
        let Some(since) = view.leading_since else {
            lead = None;
            rounds.send_replace(0);
            continue;
        };
        if lead.as_ref().is_none_or(|(term, _)| *term != view.term) {
            lead = None;
            rounds.send_replace(0);
            // The barrier makes sure that everything that earlier leaders committed is applied here.
            if context.group.read().await.is_err() {
                continue;
            }
            log::info!(
                "event=controller_started group={} term={}",
                context.group.name(),
                view.term
            );
            lead = Some((view.term, Lead::new(context.clone(), scheduler.clone())));
        }
        let settled = context.clock.now() >= since + context.settings.settle;
        if let Some((_, lead)) = &mut lead {
            lead.round(settled).await;
            if settled {
                rounds.send_modify(|done| *done += 1);
            }
        }
    }
}
