use {
    super::Context,
    futures::future,
    indexmap::IndexMap,
    model::{
        job::{Attempt, Job},
        worker::{Action, Order, Task},
    },
    std::time::{Duration, Instant},
    tokio::time,
};

/// What is known of one worker of a gang.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    /// Last time at which it answered.
    pub(super) answered: Instant,
    /// Last time at which it answered an order other than `stop`; its leases count from that answer at the
    /// latest, because an order to stop extends nothing.
    pub(super) leased: Instant,
    /// Its clock in that answer.
    echo_ms: u64,
    /// Last known state of its tasks.
    pub(super) tasks: Vec<Task>,
    /// Last error, for people.
    pub(super) error: String,
}

/// Sends orders to all workers of one attempt and remembers their answers.
pub(super) struct Orders {
    pub(super) contacts: IndexMap<String, Contact>,
}

impl Orders {
    /// Starts with nothing known but the announcements. A predecessor of this leader may have had
    /// answers until now.
    pub(super) fn new(context: &Context, attempt: &Attempt) -> Orders {
        let now = context.clock.now();
        let contact = |worker: &str| Contact {
            answered: now,
            leased: now,
            echo_ms: context
                .registry
                .get(worker)
                .map_or(0, |seen| seen.announcement.clock_ms),
            tasks: Vec::new(),
            error: String::new(),
        };
        let workers = attempt.members.iter().map(|member| member.worker.clone());
        Orders {
            contacts: workers
                .map(|worker| (worker.clone(), contact(&worker)))
                .collect(),
        }
    }

    /// Sends one action for every task to the workers that `wanted` selects, and waits at most `limit`.
    pub(super) async fn send(
        &mut self,
        context: &Context,
        job: &Job,
        action: Action,
        limit: Duration,
        wanted: impl Fn(&Contact) -> bool,
    ) {
        let Some(attempt) = &job.attempt else {
            return;
        };
        if !context.leads() {
            return;
        }
        let mut calls = Vec::new();
        for (name, contact) in &mut self.contacts {
            if !wanted(contact) {
                continue;
            }
            let Some(seen) = context.registry.get(name) else {
                contact.error = "the worker is not known".into();
                continue;
            };
            let orders = orders(context, job, attempt, (name, contact.echo_ms), action);
            let call = context
                .link
                .order(&seen.announcement.worker.address, orders);
            let name = name.clone();
            calls.push(async move { (name, time::timeout(limit, call).await) });
        }
        for (name, answer) in future::join_all(calls).await {
            let Some(contact) = self.contacts.get_mut(&name) else {
                continue;
            };
            match answer {
                Ok(Ok(answer)) => {
                    contact.answered = context.clock.now();
                    if action != Action::Stop {
                        contact.leased = contact.answered;
                    }
                    contact.echo_ms = answer.clock_ms;
                    contact.tasks = answer.tasks;
                }
                Ok(Err(error)) => contact.error = error.to_string(),
                Err(_) => contact.error = format!("no answer within {} ms", limit.as_millis()),
            }
        }
    }

    /// The last known state of every task; shorter than the gang while some worker has not answered.
    pub(super) fn tasks(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.contacts
            .iter()
            .flat_map(|(name, contact)| contact.tasks.iter().map(move |task| (name.as_str(), task)))
    }
}

fn orders(
    context: &Context,
    job: &Job,
    attempt: &Attempt,
    (worker, echo_ms): (&str, u64),
    action: Action,
) -> Vec<Order> {
    let members = attempt
        .members
        .iter()
        .filter(|member| member.worker == worker);
    members
        .map(|member| Order {
            token: attempt.token,
            job: job.id,
            attempt: attempt.number,
            task: member.task,
            accelerators: member.accelerators.clone(),
            action,
            lease_ms: context.settings.lease.as_millis() as u64,
            echo_ms,
            payload: if action == Action::Start {
                job.spec.payload.clone()
            } else {
                String::new()
            },
        })
        .collect()
}
