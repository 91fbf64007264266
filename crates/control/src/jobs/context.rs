use {
    super::{Findings, Settings},
    crate::fault::{self, Fault},
    crate::{
        follow::Follower,
        group::Group,
        state::{Answer, Command, Step},
        worker::{Link, Registry},
    },
    model::{clock::Clock, job::Job, place},
    std::sync::Arc,
    wire::Verdict,
};

/// What the controller and its gangs share.
#[derive(Clone)]
pub struct Context {
    /// The replica whose jobs are controlled.
    pub group: Group,
    /// This instance's configuration.
    pub follower: Arc<Follower>,
    /// The workers heard of.
    pub registry: Arc<Registry>,
    /// Sends orders.
    pub link: Arc<dyn Link>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Timing.
    pub settings: Settings,
    /// What the leader found out.
    pub findings: Findings,
}

impl Context {
    /// Commits a command; `None` if it is not known to be applied.
    pub(super) async fn commit(&self, command: &Command) -> Option<Answer> {
        match self.group.propose(command.encode()).await {
            Verdict::Answer(bytes) => serde_json::from_slice(&bytes).ok(),
            _ => None,
        }
    }

    /// Commits a step of a job; returns the job after it if the step took effect.
    pub(super) async fn advance(&self, job: &Job, step: Step) -> Option<Job> {
        let command = Command::Move {
            job: job.id,
            token: job.attempt.as_ref().map_or(0, |attempt| attempt.token),
            step,
            at_ms: self.clock.wall_ms(),
        };
        match self.commit(&command).await {
            Some(Answer::Moved(job)) => {
                self.findings.moved(&job);
                Some(*job)
            }
            _ => None,
        }
    }

    /// Tells whether this replica's lease as the leader is valid now.
    pub(super) fn leads(&self) -> bool {
        self.group.leads() || fault::is(Fault::OrdersWithoutLease)
    }

    /// Tells whether work of the job may be sent to all its workers now: the
    /// configuration is current, and every site is permitted.
    pub(super) fn may_send(&self, job: &Job) -> Result<(), String> {
        let Some(config) = self.follower.current(self.clock.now()) else {
            return Err("the configuration is not known to be current".into());
        };
        let account = config
            .accounts
            .get(&job.spec.account)
            .ok_or_else(|| format!("client account {} has ended", job.spec.account))?;
        for member in job.attempt.iter().flat_map(|attempt| &attempt.members) {
            let seen = self
                .registry
                .get(&member.worker)
                .ok_or_else(|| format!("worker {} is not known", member.worker))?;
            let site = &seen.announcement.worker.site;
            if !place::permits(account, site) {
                return Err(format!(
                    "client account {} may not use {site}",
                    job.spec.account
                ));
            }
        }
        Ok(())
    }
}
