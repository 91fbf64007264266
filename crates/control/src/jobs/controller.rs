use {
    super::{Context, lead::Lead},
    crate::worker::Seen,
    gang::{Scheduler, Settings, Shortfall},
    model::{config::Config, job::Spec},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::{task::JoinHandle, time},
};

/// The running controller of one region group; it acts while this replica leads.
#[derive(Clone)]
pub struct Controller {
    context: Context,
    scheduler: Arc<Mutex<Scheduler>>,
    task: Arc<JoinHandle<()>>,
}

impl Controller {
    /// Starts the controller on the current runtime.
    pub fn spawn(context: Context) -> Controller {
        let scheduler = Arc::new(Mutex::new(Scheduler::new(Settings::default())));
        let task = tokio::spawn(run(context.clone(), scheduler.clone()));
        Controller {
            context,
            scheduler,
            task: Arc::new(task),
        }
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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

    /// The workers heard of.
    pub fn workers(&self) -> Vec<Seen> {
        self.context.registry.list()
    }

    /// Ends the controller and the gangs' tasks; what runs on workers goes on under its leases.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn run(context: Context, scheduler: Arc<Mutex<Scheduler>>) {
    let mut lead: Option<(u64, Lead)> = None;
    loop {
        time::sleep(context.settings.tick).await;
        let view = context.group.view();
        if view.leading_since.is_none() {
            lead = None;
            continue;
        }
        if lead.as_ref().is_none_or(|(term, _)| *term != view.term) {
            lead = None;
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
        if let Some((_, lead)) = &mut lead {
            lead.round().await;
        }
    }
}
