use {
    super::{Force, Instance, Method, Query, Report, WorkerView},
    crate::{
        group::Group,
        jobs::NOT_SETTLED,
        peers::{Handler, Reply},
        worker::Seen,
    },
    futures::FutureExt,
    model::{job::Job, worker::TaskState},
    quorum::{Change, Member},
    serde::Serialize,
    std::{sync::Arc, time::Instant},
    wire::{Update, Verdict},
};

/// Name of the group that keeps the configuration.
pub(super) const CONFIG: &str = "config";

/// Why a leader does not judge a job of a configuration that it does not have.
const NOT_CONFIGURED: &str = "the leader does not have the newest configuration yet";

/// Serves the calls of other instances.
pub(super) struct Server(pub(super) Arc<Instance>);

impl Handler for Server {
    fn deliver(&self, group: &str, sender: u64, messages: Vec<Vec<u8>>) {
        self.0.calls.received(Method::Deliver);
        if let Some(group) = self.0.groups.get(group) {
            group.deliver(sender, messages);
        }
    }

    fn propose(&self, group: &str, command: &[u8]) -> Reply<Verdict> {
        self.0.calls.received(Method::Propose);
        let (instance, group, command) = (self.0.clone(), group.to_owned(), command.to_vec());
        async move { instance.execute(&group, &command).await }.boxed()
    }

    fn query(&self, group: &str, query: &[u8]) -> Reply<Verdict> {
        self.0.calls.received(Method::Query);
        let (instance, group, query) = (self.0.clone(), group.to_owned(), query.to_vec());
        async move { instance.answer(&group, &query).await }.boxed()
    }

    fn follow(&self, instance: u64, incarnation: u64, applied: u64) -> Reply<Update> {
        self.0.calls.received(Method::Follow);
        let own = self.0.clone();
        async move { own.lead_follower((instance, incarnation), applied).await }.boxed()
    }

    fn report(&self, group: &str, instance: u64, report: &[u8]) -> Reply<Verdict> {
        self.0.calls.received(Method::Report);
        let (own, group, report) = (self.0.clone(), group.to_owned(), report.to_vec());
        async move { own.take_report(&group, instance, &report).await }.boxed()
    }

    fn gossip(&self, instance: u64, entries: &[u8]) -> Vec<u8> {
        self.0.calls.received(Method::Gossip);
        if self.0.setup.instances.contains_key(&instance) {
            self.0.setup.exchange.merge(entries);
        }
        Vec::new()
    }
}

impl Instance {
    /// Executes a command if this instance leads the group.
    pub(super) async fn execute(&self, group: &str, command: &[u8]) -> Verdict {
        match self.groups.get(group) {
            Some(group) => group.propose(command.to_vec()).await,
            None => Verdict::NotLeader(None),
        }
    }

    /// Answers a query if this instance leads the group.
    pub(super) async fn answer(&self, group: &str, query: &[u8]) -> Verdict {
        let query: Query = match serde_json::from_slice(query) {
            Ok(Query::Counts) => return Verdict::Answer(self.setup.exchange.counts()),
            Ok(query) => query,
            Err(error) => return Verdict::NotRun(format!("malformed query: {error}")),
        };
        let group = self.groups.get(group);
        if let Query::Holds = query {
            return match encode(&group.is_some_and(|group| group.is_initialized())) {
                Ok(bytes) => Verdict::Answer(bytes),
                Err(error) => Verdict::NotRun(error.to_string()),
            };
        }
        let Some(group) = group else {
            return Verdict::NotLeader(None);
        };
        if let Err(refusal) = group.read().await {
            return refusal;
        }
        if let Some(controller) = self.controllers.get(group.name()) {
            let ready = match query {
                Query::Check { .. } => controller.catch_up().await,
                // A worker that a new leader has not heard of yet would be missing.
                Query::Workers => controller.wait_settled().await,
                Query::CanRun { .. } | Query::Preview { .. } if !controller.is_settled() => {
                    Err(NOT_SETTLED.to_owned())
                }
                Query::CanRun { number, .. } | Query::Preview { number, .. } => {
                    let limit = self.setup.jobs.settle;
                    let configured = controller.findings().wait_configured(number, limit).await;
                    configured
                        .then_some(())
                        .ok_or_else(|| NOT_CONFIGURED.to_owned())
                }
                _ => Ok(()),
            };
            if let Err(reason) = ready {
                return Verdict::NotRun(reason);
            }
        }
        match self.read(group, query) {
            Ok(bytes) => Verdict::Answer(bytes),
            Err(error) => Verdict::NotRun(error.to_string()),
        }
    }

    fn read(&self, group: &Group, query: Query) -> Result<Vec<u8>, serde_json::Error> {
        let state = group.state();
        let controller = self.controllers.get(group.name());
        match query {
            Query::Notes { after, limit } => {
                let book = state.book();
                let records = book.history(after);
                encode(&&records[..limit.min(records.len())])
            }
            Query::Outcome { key } => encode(&state.book().outcome(&key)),
            Query::Force { number } => encode(&self.force(group, number)),
            Query::Counts => Ok(self.setup.exchange.counts()),
            Query::Followers => encode(&self.followers()),
            Query::Alive {
                instance,
                incarnation,
            } => {
                let now = self.setup.clock.now();
                encode(&self.ledger().is_live((instance, incarnation), now))
            }
            Query::Holds => encode(&group.is_initialized()),
            Query::Drains => encode(&state.drains().instances),
            Query::Evacuations => encode(&state.drains().data_centres),
            Query::Jobs {
                account,
                state: wanted,
                limit,
            } => {
                let jobs = state.jobs();
                let mut found: Vec<&Job> = jobs
                    .iter()
                    .filter(|job| account.as_ref().is_none_or(|a| *a == job.spec.account))
                    .filter(|job| wanted.is_none_or(|state| state == job.state))
                    .collect();
                let surplus = found.len().saturating_sub(limit);
                found.drain(..surplus);
                encode(&found)
            }
            Query::Job { id } => encode(&state.jobs().get(id)),
            Query::Why { id } => encode(&controller.and_then(|c| c.explain(id))),
            Query::Known { account, key } => encode(&state.jobs().find(&account, &key).is_some()),
            Query::CanRun { spec, .. } => encode(&controller.and_then(|c| c.can_run(&spec).err())),
            Query::Preview { spec, .. } => encode(&controller.map(|c| c.preview(&spec))),
            Query::Check { config, accounts } => {
                let shortfalls = controller.and_then(|c| c.check(&config).err());
                let lines: Vec<String> = shortfalls
                    .iter()
                    .flatten()
                    .filter(|shortfall| accounts.contains(&shortfall.account))
                    .map(ToString::to_string)
                    .collect();
                encode(&lines)
            }
            Query::Workers => {
                let drains = state.drains().clone();
                let now = self.setup.clock.now();
                let seen = controller.map(|c| c.workers()).unwrap_or_default();
                let views = seen.into_iter().map(|seen| {
                    let draining = drains.concerns(&seen.announcement.worker);
                    let name = &seen.announcement.worker.name;
                    let quarantined = controller.is_some_and(|c| c.findings().is_quarantined(name));
                    view(seen, draining, quarantined, now)
                });
                encode(&views.collect::<Vec<_>>())
            }
            Query::Join { id, incarnation } => {
                self.admit(group, Member { id, incarnation });
                encode(&())
            }
        }
    }

    /// Adds a replica with a disk that is not a member yet as a learner.
    fn admit(&self, group: &Group, member: Member) {
        let listed = self
            .setup
            .groups
            .get(group.name())
            .is_some_and(|ids| ids.contains(&member.id));
        let members = group.view().members;
        if listed && !members.all().contains(&member) && !members.is_joint() {
            log::info!(
                "event=replica_joins group={} instance={} incarnation={}",
                group.name(),
                member.id,
                member.incarnation
            );
            group.propose_change(Change::Join(member));
        }
    }

    /// Answers a follower of the configuration if this instance leads the group `config`.
    pub(super) async fn lead_follower(&self, follower: (u64, u64), applied: u64) -> Update {
        let Some(group) = self.groups.get(CONFIG) else {
            return Update::NotLeader(None);
        };
        if group.read().await.is_err() {
            return Update::NotLeader(group.view().leader.filter(|id| *id != self.setup.id));
        }
        let config = {
            let book = group.state().book();
            let newer = book.config().number > applied || applied == 0;
            newer.then(|| serde_json::to_vec(book.config()).unwrap_or_default())
        };
        let lease = self.setup.config_lease;
        let mut ledger = self.ledger();
        ledger.enter(group.view().term);
        // The grant is recorded after the barrier, so its end is not earlier than the follower counts.
        ledger.grant(follower, applied, self.setup.clock.now(), lease);
        let name = self
            .setup
            .instances
            .get(&follower.0)
            .map(|place| &place.name);
        let drained = name.is_some_and(|name| group.state().drains().instances.contains(name));
        Update::Current {
            lease,
            config,
            drained,
        }
    }

    fn force(&self, group: &Group, number: u64) -> Force {
        let view = group.view();
        let now = self.setup.clock.now();
        let missing = match view.leading_since {
            Some(since) if group.state().book().config().number >= number => {
                let mut ledger = self.ledger();
                ledger.enter(view.term);
                let instances = self.setup.instances.keys().copied();
                ledger.missing(number, instances, since, self.setup.config_lease, now)
            }
            _ => self.setup.instances.keys().copied().collect(),
        };
        Force {
            number,
            in_force: missing.is_empty(),
            missing,
        }
    }

    fn followers(&self) -> Vec<(u64, Option<u64>)> {
        let now = self.setup.clock.now();
        let ledger = self.ledger();
        let ids = self.setup.instances.keys();
        ids.map(|id| (*id, ledger.applied(*id, now))).collect()
    }

    /// Takes the report of an instance if this instance leads the group.
    pub(super) async fn take_report(&self, group: &str, from: u64, report: &[u8]) -> Verdict {
        let Some(replica) = self.groups.get(group) else {
            return Verdict::NotLeader(None);
        };
        let view = replica.view();
        let Some(since) = view.leading_since else {
            return Verdict::NotLeader(view.leader.filter(|id| *id != self.setup.id));
        };
        let report: Report = match postcard::from_bytes(report) {
            Ok(report) => report,
            Err(error) => {
                let reason = format!("malformed report of instance {from}: {error}");
                return Verdict::NotRun(reason);
            }
        };
        let now = self.setup.clock.now();
        if let Some(registry) = self.registries.get(group) {
            for announcement in report.workers {
                registry.hear(announcement, now);
            }
        }
        let exchange = &self.setup.exchange;
        Verdict::Answer(exchange.grant(group, &report.demand, view.term, since))
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(value)
}

fn view(seen: Seen, draining: bool, quarantined: bool, now: Instant) -> WorkerView {
    let tasks = seen.announcement.tasks.iter();
    let held = tasks.filter(|t| matches!(t.state, TaskState::Reserved | TaskState::Running));
    WorkerView {
        silent_ms: now.saturating_duration_since(seen.heard).as_millis() as u64,
        draining,
        quarantined,
        tasks: held.count(),
        worker: seen.announcement.worker,
    }
}
