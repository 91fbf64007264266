use {
    super::Control,
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

/// Time for the last ends that a leaving upstream has listed to be committed. It waits for the acknowledgement for a
/// second.
const LAST_ENDS: Duration = Duration::from_millis(300);

/// Where a call leads.
struct Place {
    queue: String,
    account: Option<String>,
    /// The job that the path names; none for the queue itself.
    job: Option<id::Job>,
}

/// Answers of the leader.
impl Control {
    /// Answers a call if this instance leads.
    pub(super) async fn answer(&self, request: Request) -> Verdict {
        if self.shared.replica.leading_term().is_none() {
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
            } => self.hear(*upstream, sequence, clock_ms).await,
            Request::Leave { upstream, born_ms } => self.leave(upstream, born_ms).await,
            Request::Greeting {
                member,
                wall_ms,
                heard,
            } => Ok(self.meet(member, wall_ms, heard)),
            Request::Ping => Ok(self.members()),
        };
        match answer {
            Ok(reply) => match postcard::to_stdvec(&reply) {
                Ok(bytes) => Verdict::Answer(bytes),
                Err(error) => Verdict::Unknown(format!("cannot encode the reply: {error}")),
            },
            Err(verdict) => verdict,
        }
    }

    /// Reads the book of the leader.
    fn read<T>(&self, read: impl FnOnce(&Registry) -> T) -> Result<T, Verdict> {
        let ledger = self.shared.replica.ledger();
        let ledger = ledger.ok_or(Verdict::NotLeader(None))?;
        let value = read(&ledger.book());
        // The book was current when it was read only if this instance still leads afterwards.
        match self.shared.replica.leading_term() {
            Some(_) => Ok(value),
            None => Err(Verdict::NotLeader(None)),
        }
    }

    async fn answer_job(&self, caller: &Caller, action: Action) -> Result<Reply, Verdict> {
        let place = match self.read(|book| locate(book, caller))? {
            Ok(place) => place,
            Err(reply) => return Ok(reply),
        };
        match action {
            Action::Submit(form) => self.submit(place, *form).await,
            Action::Show => self.read(|book| show(book, &place)),
            Action::Cancel => self.cancel(&place).await,
        }
    }

    async fn submit(&self, place: Place, form: Definition) -> Result<Reply, Verdict> {
        let Some(job) = place.job else {
            return Ok(Reply::NoQueue);
        };
        if let Err(error) = form.check() {
            return Ok(Reply::Invalid(error.to_string()));
        }
        let tasks: u32 = form.steps.iter().map(|step| u32::from(step.count)).sum();
        let accelerators = form.accelerators();
        let command = Command::Submit {
            at_ms: self.time_ms(),
            job,
            account: place.account.clone(),
            queue: place.queue.clone(),
            form: Box::new(form),
        };
        let answer = self.shared.replica.propose(&command).await;
        log::info!(
            "event=job_submitted job={job} queue={} account={} tasks={tasks} accelerators={accelerators} outcome={}",
            place.queue,
            place.account.as_deref().unwrap_or("-"),
            outcome(&answer)
        );
        self.wake(Event::Tick);
        match answer? {
            Answer::Taken => Ok(Reply::Invalid("the id belongs to another job".into())),
            _ => Ok(Reply::Accepted),
        }
    }

    async fn cancel(&self, place: &Place) -> Result<Reply, Verdict> {
        let Some(job) = place.job else {
            return Ok(Reply::NoQueue);
        };
        if !self.read(|book| book.job(job).is_some_and(|job| place.owns(job)))? {
            return Ok(Reply::NoJob);
        }
        let command = Command::Cancel {
            at_ms: self.time_ms(),
            job,
        };
        let answer = self.shared.replica.propose(&command).await;
        log::info!("event=job_cancelled job={job} outcome={}", outcome(&answer));
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
        let held = self.read(|book| book.config().map(|config| config.version))?;
        if held.is_some_and(|held| held >= version) {
            log::info!(
                "event=config_unchanged version={version} held={}",
                held.unwrap_or(0)
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
            outcome(&answer)
        );
        self.wake(Event::Tick);
        answer.map(|_| Reply::Done)
    }

    async fn configuration(&self) -> Result<Reply, Verdict> {
        self.shared.replica.read().await?;
        self.read(|book| match book.config() {
            Some(config) => Reply::Configuration(config.source.clone()),
            None => Reply::NotConfigured,
        })
    }

    /// Takes a heartbeat. It is acknowledged once what is new in it is committed.
    async fn hear(
        &self,
        upstream: Upstream,
        sequence: u64,
        clock_ms: Option<u64>,
    ) -> Result<Reply, Verdict> {
        if !self.is_newest(&upstream, sequence) {
            return Ok(Reply::Done);
        }
        let (id, born_ms) = (upstream.id.clone(), upstream.born_ms);
        let is_new = self.read(|book| match book.upstream(&id) {
            Some(known) if known.born_ms > born_ms => false,
            Some(known) => *known != upstream && !(known.draining && known.born_ms == born_ms),
            None => true,
        })?;
        if is_new {
            log::info!(
                "event=upstream_registered upstream={id} born_ms={born_ms} address={} draining={} sequence={sequence}",
                upstream.address,
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

    /// Takes a heartbeat at an instance that does not lead, if it tells nothing new. The leader hears of it with the
    /// next greeting; so its work does not grow with the number of heartbeats.
    pub(super) fn hear_for_leader(&self, upstream: &Upstream, sequence: u64) -> bool {
        let Some(ledger) = self.shared.replica.ledger() else {
            return false;
        };
        let is_known = ledger.book().upstream(&upstream.id) == Some(upstream);
        if !is_known || !self.is_newest(upstream, sequence) {
            return false;
        }
        let heard = self.shared.heard.lock();
        let mut heard = heard.unwrap_or_else(PoisonError::into_inner);
        heard.insert(upstream.id.clone(), upstream.born_ms);
        true
    }

    /// Whether no later heartbeat of the upstream has arrived.
    fn is_newest(&self, upstream: &Upstream, sequence: u64) -> bool {
        let sequences = self.shared.sequences.lock();
        let mut sequences = sequences.unwrap_or_else(PoisonError::into_inner);
        let known = sequences.entry(upstream.id.clone()).or_default();
        if (upstream.born_ms, sequence) < *known {
            return false;
        }
        *known = (upstream.born_ms, sequence);
        true
    }

    async fn leave(&self, upstream: id::Upstream, born_ms: Option<u64>) -> Result<Reply, Verdict> {
        let known = self.read(|book| book.upstream(&upstream).map(|known| known.born_ms))?;
        let Some(known) = known else {
            return Ok(Reply::Done);
        };
        if born_ms.is_some_and(|born_ms| born_ms != known) {
            return Ok(Reply::Done);
        }
        // Ends that it has just listed are being committed; they count, and must not come after its removal.
        time::sleep(LAST_ENDS).await;
        log::info!("event=upstream_left upstream={upstream} born_ms={known}");
        let command = Command::Leave {
            upstream,
            born_ms: known,
        };
        self.shared.replica.propose(&command).await?;
        self.wake(Event::Tick);
        Ok(Reply::Done)
    }

    fn meet(&self, member: Member, wall_ms: u64, heard: Vec<(id::Upstream, u64)>) -> Reply {
        for (upstream, born_ms) in heard {
            self.wake(Event::HeartbeatReceived {
                upstream,
                born_ms,
                clock_ms: None,
            });
        }
        let now = self.shared.clock.now();
        self.agreed().observe(member.id, wall_ms, now);
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

impl Place {
    fn owns(&self, job: &Job) -> bool {
        job.queue == self.queue && job.account == self.account
    }
}

/// Finds the queue, the account and the job of a call.
fn locate(book: &Registry, caller: &Caller) -> Result<Place, Reply> {
    let config = book.config().ok_or(Reply::NotConfigured)?;
    let found = config
        .route(&caller.host, &caller.path)
        .ok_or(Reply::NoQueue)?;
    let account = identify(config, found.queue, caller.key.as_deref())?;
    let job = match found.rest {
        "" => None,
        rest => Some(rest.parse().map_err(|_| Reply::NoQueue)?),
    };
    Ok(Place {
        queue: found.queue.name.clone(),
        account,
        job,
    })
}

fn identify(config: &Config, queue: &Queue, key: Option<&str>) -> Result<Option<String>, Reply> {
    if queue.public {
        return Ok(None);
    }
    let holder = key.and_then(|key| config.account_by_key(key));
    let account = holder.ok_or(Reply::UnknownKey)?;
    Ok(Some(account.name.clone()))
}

fn show(book: &Registry, place: &Place) -> Reply {
    let Some(id) = place.job else {
        return Reply::Waiting(book.unstarted_jobs(&place.queue) as u64);
    };
    match book.job(id).filter(|job| place.owns(job)) {
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

fn outcome(answer: &Result<Answer, Verdict>) -> &'static str {
    match answer {
        Ok(Answer::Taken) => "taken",
        Ok(Answer::Missing) => "missing",
        Ok(_) => "committed",
        Err(Verdict::NotLeader(_)) => "not_leader",
        Err(Verdict::NotRun(_)) => "not_run",
        Err(Verdict::Unknown(_) | Verdict::Answer(_)) => "unknown",
    }
}
