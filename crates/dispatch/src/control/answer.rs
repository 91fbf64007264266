use {
    super::{Control, FinalEnds},
    gate::call::{Action, Caller, JobState, Reply, Request},
    plan::engine::Event,
    quorum::Member,
    roster::Contact,
    std::{sync::PoisonError, time::Duration},
    tokio::time,
    wire::Verdict,
    work::{
        config::{Config, Queue},
        id,
        job::Definition,
        registry::{Answer, Command, Job, Registry, State},
        upstream::Upstream,
    },
};

/// What a call addresses.
struct CallTarget {
    /// Endpoint of the queue.
    queue: String,
    account: Option<String>,
    /// The job that the path names; `None` for the queue itself.
    job: Option<id::Job>,
}

/// Handling of requests by the leader.
impl Control {
    /// Answers a request if this instance leads.
    pub(super) async fn answer(&self, request: Request) -> Verdict {
        if self.shared.replica.leading_term().is_none() {
            match request {
                Request::Speeds(speeds) => return self.remember_speeds(speeds),
                Request::Starts(report) => return self.remember_unnumbered_starts(report),
                Request::NumberedStarts(report) => return self.remember_starts(report),
                _ => {}
            }
            let leader = self.shared.replica.leader();
            return Verdict::NotLeader(leader.filter(|leader| *leader != self.shared.id));
        }
        let answer = match request {
            Request::Job { caller, action } => self.answer_job(&caller, action).await,
            Request::Configure(config) => self.configure(*config).await,
            Request::Configuration => self.configuration().await,
            Request::Heartbeat {
                upstream,
                sequence,
                clock_ms,
            } => self.handle_heartbeat(*upstream, sequence, clock_ms).await,
            Request::Leave { upstream, born_ms } => self.deregister(upstream, born_ms).await,
            Request::Greeting {
                member,
                wall_ms,
                heard,
            } => Ok(self.handle_greeting(member, wall_ms, heard)),
            Request::Ping => Ok(self.members()),
            // The sender has led before this instance did.
            Request::Speeds(_) | Request::Starts(_) => Ok(Reply::Done),
            // The sender may also lead already.
            Request::NumberedStarts(report) => return self.remember_starts(report),
            Request::DataCentres => self.list_data_centres().await,
            Request::Evacuate {
                data_centre,
                order,
                after,
            } => self.evacuate(data_centre, order, after).await,
            Request::Cold {
                upstream,
                born_ms,
                remaining_ms,
            } => {
                self.wake(Event::UpstreamCold {
                    upstream,
                    born_ms,
                    remaining: Duration::from_millis(remaining_ms),
                });
                Ok(Reply::Done)
            }
        };
        match answer {
            Ok(reply) => match postcard::to_stdvec(&reply) {
                Ok(bytes) => Verdict::Answer(bytes),
                Err(error) => Verdict::Unknown(format!("cannot encode the reply: {error}")),
            },
            Err(verdict) => verdict,
        }
    }

    /// Reads the leader's registry.
    pub(super) fn read_registry<T>(&self, read: impl FnOnce(&Registry) -> T) -> Result<T, Verdict> {
        let state = self.shared.replica.state();
        let state = state.ok_or(Verdict::NotLeader(None))?;
        let value = read(&state.registry());
        // The registry was current when it was read only if this instance still leads afterwards.
        match self.shared.replica.leading_term() {
            Some(_) => Ok(value),
            None => Err(Verdict::NotLeader(None)),
        }
    }

    async fn answer_job(&self, caller: &Caller, action: Action) -> Result<Reply, Verdict> {
        let target = match self.read_registry(|registry| resolve(registry, caller))? {
            Ok(target) => target,
            Err(reply) => return Ok(reply),
        };
        match action {
            Action::Submit(definition) => self.submit(target, *definition).await,
            Action::Show => self.read_registry(|registry| show(registry, &target)),
            Action::Cancel => self.cancel(&target).await,
        }
    }

    async fn submit(&self, target: CallTarget, definition: Definition) -> Result<Reply, Verdict> {
        let Some(job) = target.job else {
            return Ok(Reply::NoQueue);
        };
        if let Err(error) = definition.check() {
            return Ok(Reply::Invalid(error.to_string()));
        }
        let tasks: u32 = definition
            .steps
            .iter()
            .map(|step| u32::from(step.count))
            .sum();
        let accelerators = definition.accelerators();
        let command = Command::Submit {
            at_ms: self.time_ms(),
            job,
            account: target.account.clone(),
            queue: target.queue.clone(),
            form: Box::new(definition),
        };
        let answer = self.shared.replica.propose(&command).await;
        log::info!(
            "event=job_submitted job={job} queue={} account={} tasks={tasks} accelerators={accelerators} outcome={}",
            target.queue,
            target.account.as_deref().unwrap_or("-"),
            outcome_text(&answer)
        );
        self.wake(Event::Tick);
        let answer = answer?;
        let (is_own, has_queue) = self.read_registry(|registry| {
            let known = registry.job(job);
            let queue = known.and_then(|known| registry.queue(&known.queue));
            (
                known.is_some_and(|known| target.owns(known)),
                queue.is_some(),
            )
        })?;
        match answer {
            Answer::Taken if !is_own => Ok(Reply::Invalid("the id belongs to another job".into())),
            // The caller submits it again, which moves it to the queue that has replaced this one.
            _ if !has_queue => Err(Verdict::Unknown(format!(
                "the queue {} was replaced meanwhile",
                target.queue
            ))),
            _ => Ok(Reply::Accepted),
        }
    }

    async fn cancel(&self, target: &CallTarget) -> Result<Reply, Verdict> {
        let Some(job) = target.job else {
            return Ok(Reply::NoQueue);
        };
        if !self.read_registry(|registry| registry.job(job).is_some_and(|job| target.owns(job)))? {
            return Ok(Reply::NoJob);
        }
        let command = Command::Cancel {
            at_ms: self.time_ms(),
            job,
        };
        let answer = self.shared.replica.propose(&command).await;
        log::info!(
            "event=job_cancelled job={job} outcome={}",
            outcome_text(&answer)
        );
        self.wake(Event::Tick);
        match answer? {
            Answer::Missing => Ok(Reply::NoJob),
            _ => Ok(Reply::Cancelled),
        }
    }

    async fn configure(&self, config: Config) -> Result<Reply, Verdict> {
        let version = config.version;
        if let Err(fault) = config.check() {
            log::warn!("event=config_refused version={version} reason=\"{fault}\"");
            return Ok(Reply::Invalid(fault.to_string()));
        }
        let current_version =
            self.read_registry(|registry| registry.config().map(|config| config.version))?;
        if current_version.is_some_and(|current| current >= version) {
            log::info!(
                "event=config_unchanged version={version} held={}",
                current_version.unwrap_or(0)
            );
            return Ok(Reply::Done);
        }
        let command = Command::Configure {
            at_ms: self.time_ms(),
            config: Box::new(config),
        };
        let answer = self.shared.replica.propose(&command).await;
        log::info!(
            "event=config_stored version={version} outcome={}",
            outcome_text(&answer)
        );
        self.wake(Event::Tick);
        answer.map(|_| Reply::Done)
    }

    async fn configuration(&self) -> Result<Reply, Verdict> {
        self.shared.replica.read().await?;
        self.read_registry(|registry| match registry.config() {
            Some(config) => Reply::Configuration(config.source.clone()),
            None => Reply::NotConfigured,
        })
    }

    /// Handles a heartbeat as leader. It is acknowledged once its changes, if any, are committed.
    async fn handle_heartbeat(
        &self,
        upstream: Upstream,
        sequence: u64,
        clock_ms: Option<u64>,
    ) -> Result<Reply, Verdict> {
        if !self.accept_sequence(&upstream, sequence) {
            return Ok(Reply::Done);
        }
        let (id, born_ms) = (upstream.id.clone(), upstream.born_ms);
        // Draining is final until the upstream restarts, so later changes of a draining upstream are not stored.
        let is_changed = self.read_registry(|registry| match registry.upstream(&id) {
            Some(known) if known.born_ms > born_ms => false,
            Some(known) => *known != upstream && !(known.draining && known.born_ms == born_ms),
            None => true,
        })?;
        if is_changed {
            log::info!(
                "event=upstream_registered upstream={id} born_ms={born_ms} address={} service={} draining={} sequence={sequence}",
                upstream.address,
                upstream.service,
                upstream.draining
            );
            let upstream = Box::new(upstream);
            self.shared
                .replica
                .propose(&Command::Register { upstream })
                .await?;
        }
        self.wake(Event::HeartbeatReceived {
            upstream: id,
            born_ms,
            clock_ms,
        });
        Ok(Reply::Done)
    }

    /// Acknowledges a heartbeat as follower, if it contains no change; otherwise returns false. The next greeting
    /// reports it to the leader, so that the leader's work does not grow with the number of heartbeats.
    pub(super) fn acknowledge_as_follower(&self, upstream: &Upstream, sequence: u64) -> bool {
        let Some(state) = self.shared.replica.state() else {
            return false;
        };
        let is_known = state.registry().upstream(&upstream.id) == Some(upstream);
        if !is_known || !self.accept_sequence(upstream, sequence) {
            return false;
        }
        let acknowledged = self.shared.acknowledged.lock();
        let mut acknowledged = acknowledged.unwrap_or_else(PoisonError::into_inner);
        acknowledged.insert(upstream.id.clone(), upstream.born_ms);
        true
    }

    /// Records the sequence of a heartbeat; returns false if a later heartbeat of the upstream has already arrived.
    fn accept_sequence(&self, upstream: &Upstream, sequence: u64) -> bool {
        let sequences = self.shared.sequences.lock();
        let mut sequences = sequences.unwrap_or_else(PoisonError::into_inner);
        let known = sequences.entry(upstream.id.clone()).or_default();
        if (upstream.born_ms, sequence) < *known {
            return false;
        }
        *known = (upstream.born_ms, sequence);
        true
    }

    async fn deregister(
        &self,
        upstream: id::Upstream,
        born_ms: Option<u64>,
    ) -> Result<Reply, Verdict> {
        let registered_born_ms =
            self.read_registry(|registry| registry.upstream(&upstream).map(|known| known.born_ms))?;
        let Some(registered_born_ms) = registered_born_ms else {
            return Ok(Reply::Done);
        };
        if born_ms.is_some_and(|born_ms| born_ms != registered_born_ms) {
            return Ok(Reply::Done);
        }
        let mut final_ends = FinalEnds::default();
        while let Some(wait) = self.read_registry(|registry| {
            let has_runs = registry.allocations_on(&upstream).next().is_some();
            final_ends.next_wait(registry.last_end(&upstream), has_runs)
        })? {
            time::sleep(wait).await;
        }
        let runs = self.read_registry(|registry| registry.allocations_on(&upstream).count())?;
        log::info!(
            "event=upstream_left upstream={upstream} born_ms={registered_born_ms} runs={runs}"
        );
        self.wake(Event::UpstreamLeaves {
            upstream,
            born_ms: registered_born_ms,
        });
        Ok(Reply::Done)
    }

    fn handle_greeting(
        &self,
        member: Member,
        wall_ms: u64,
        heard: Vec<(id::Upstream, u64)>,
    ) -> Reply {
        for (upstream, born_ms) in heard {
            self.wake(Event::HeartbeatReceived {
                upstream,
                born_ms,
                clock_ms: None,
            });
        }
        let now = self.shared.clock.now();
        self.median_clock().observe(member.id, wall_ms, now);
        let contact = Contact {
            member,
            received_at: now,
        };
        self.contacts().insert(member.id, contact);
        self.members()
    }

    fn members(&self) -> Reply {
        let members = self.shared.replica.view().members;
        Reply::Members(members.all().iter().map(|member| member.id).collect())
    }
}

impl CallTarget {
    /// Whether the call may address the job: it is in the queue, and belongs to the caller unless the queue is public, or
    /// was when the job was accepted.
    fn owns(&self, job: &Job) -> bool {
        let is_callers = match (&self.account, &job.account) {
            (Some(caller), Some(owner)) => caller == owner,
            _ => true,
        };
        job.queue == self.queue && is_callers
    }
}

/// Finds the queue and job of a call and authenticates its account.
fn resolve(registry: &Registry, caller: &Caller) -> Result<CallTarget, Reply> {
    let config = registry.config().ok_or(Reply::NotConfigured)?;
    let found = config
        .route(&caller.host, &caller.path)
        .ok_or(Reply::NoQueue)?;
    let account = authenticate(config, found.queue, caller.key.as_deref())?;
    let job = match found.rest {
        "" => None,
        rest => Some(rest.parse().map_err(|_| Reply::NoQueue)?),
    };
    Ok(CallTarget {
        queue: found.queue.endpoint(),
        account,
        job,
    })
}

fn authenticate(
    config: &Config,
    queue: &Queue,
    key: Option<&str>,
) -> Result<Option<String>, Reply> {
    if queue.public {
        return Ok(None);
    }
    let holder = key.and_then(|key| config.account_by_key(key));
    let account = holder.ok_or(Reply::UnknownKey)?;
    Ok(Some(account.name.clone()))
}

fn show(registry: &Registry, target: &CallTarget) -> Reply {
    let Some(id) = target.job else {
        return Reply::Waiting(registry.unstarted_jobs(&target.queue) as u64);
    };
    match registry.job(id).filter(|job| target.owns(job)) {
        None => Reply::NoJob,
        Some(job) => Reply::Job(match job.state {
            State::Open if job.begun => JobState::Running,
            State::Open => JobState::Queued,
            State::Completed => JobState::Completed,
            State::Failed => JobState::Failed,
            State::Cancelled => JobState::Cancelled,
        }),
    }
}

pub(super) fn outcome_text(answer: &Result<Answer, Verdict>) -> &'static str {
    match answer {
        Ok(Answer::Taken) => "taken",
        Ok(Answer::Missing) => "missing",
        Ok(Answer::Overtaken) => "overtaken",
        Ok(Answer::Ambiguous) => "ambiguous",
        Ok(Answer::Full) => "full",
        Ok(_) => "committed",
        Err(Verdict::NotLeader(_)) => "not_leader",
        Err(Verdict::NotRun(_)) => "not_run",
        Err(Verdict::Unknown(_) | Verdict::Answer(_)) => "unknown",
    }
}
