use {
    super::{
        Context,
        answer::json,
        error::{client, not_current, unavailable, unexpected},
    },
    control::{
        instance::{Instance, Query},
        state::{Answer, Cancellation, Command},
    },
    dropshot::{
        Body, ClientErrorStatusCode, HttpError, HttpResponseOk, Path, Query as Params,
        RequestContext, TypedBody, endpoint,
    },
    http::{Response, StatusCode},
    indexmap::IndexSet,
    model::{
        account::Account,
        config::Config,
        job::{Job, Spec, State},
        place,
        shape::Shape,
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Jobs returned of each group at once.
const MAX_LISTED: usize = 1000;

/// Longest key of a job in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A job with the id by which callers name it.
#[derive(Serialize, JsonSchema)]
pub struct JobView {
    /// Group and number, for example `vestland-12`.
    pub id: String,
    /// The job.
    pub job: Job,
}

/// Why a job waits.
#[derive(Serialize, JsonSchema)]
pub struct WhyView {
    /// The blocking rule and what would unblock the job.
    pub line: String,
}

/// What a cancellation did.
#[derive(Serialize, JsonSchema)]
pub struct CancelView {
    /// `not-run`, `while-running` or `already-ended`.
    pub outcome: String,
    /// The job after it.
    pub job: Job,
}

/// Selects jobs.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Filter {
    account: Option<String>,
    state: Option<State>,
}

/// Names a job.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Id {
    id: String,
}

fn refused(message: String) -> HttpError {
    client(
        ClientErrorStatusCode::UNPROCESSABLE_ENTITY,
        "Refused",
        message,
    )
}

/// Accepts a job. It is durable when the answer is sent.
#[endpoint { method = POST, path = "/v1/jobs" }]
pub(super) async fn submit_job(
    context: RequestContext<Context>,
    body: TypedBody<Spec>,
) -> Result<Response<Body>, HttpError> {
    let instance = &context.context().instance;
    let spec = body.into_inner();
    let config = instance.current().ok_or_else(not_current)?;
    let group = destination(instance, &config, &spec)?;
    let query = Query::Known {
        account: spec.account.clone(),
        key: spec.key.clone(),
    };
    let known: bool = instance
        .query(&group, &query)
        .await
        .map_err(|error| unavailable(&error))?;
    // A resend gets the job accepted first, whatever has changed since.
    if !known {
        admit(instance, &config, &group, &spec).await?;
    }
    let command = Command::Submit {
        spec: Box::new(spec),
        at_ms: instance.setup().clock.wall_ms(),
    };
    let answer = instance.propose(&group, &command).await;
    match answer.map_err(|error| unavailable(&error))? {
        Answer::Job(job) => {
            let id = format!("{group}-{}", job.id);
            log::info!("event=job_accepted job={id} account={}", job.spec.account);
            json(StatusCode::CREATED, &JobView { id, job: *job })
        }
        Answer::KeyReused => Err(client(
            ClientErrorStatusCode::CONFLICT,
            "KeyReused",
            "the key was used for another job of the account; choose a new key".into(),
        )),
        _ => Err(unexpected()),
    }
}

/// Returns the group that keeps the job.
pub(super) fn destination(
    instance: &Instance,
    config: &Config,
    spec: &Spec,
) -> Result<String, HttpError> {
    let region = match &spec.place {
        Some(place) => place.region(),
        None => config
            .homes
            .get(&spec.account)
            .ok_or_else(|| refused(format!("there is no client account `{}`", spec.account)))?,
    };
    let group = instance.home(region).ok_or_else(|| {
        refused(format!(
            "no group keeps the jobs of region {region}; see `homes` in the settings"
        ))
    })?;
    Ok(group.to_owned())
}

/// Checks a new submission against the configuration and the known workers.
pub(super) async fn admit(
    instance: &Instance,
    config: &Config,
    group: &str,
    spec: &Spec,
) -> Result<(), HttpError> {
    let account = config
        .accounts
        .get(&spec.account)
        .ok_or_else(|| refused(format!("there is no client account `{}`", spec.account)))?;
    check(spec, account)?;
    let members = instance.setup().groups.get(group).into_iter().flatten();
    for id in members {
        let Some(member) = instance.setup().instances.get(id) else {
            continue;
        };
        if !place::permits(account, &member.site) {
            return Err(refused(format!(
                "the records of group {group} are stored in {}, which client account `{}` does not \
                 permit",
                member.site, spec.account
            )));
        }
    }
    let query = Query::CanRun {
        spec: Box::new(spec.clone()),
        number: config.number,
    };
    let reason: Option<String> = instance
        .query(group, &query)
        .await
        .map_err(|error| unavailable(&error))?;
    match reason {
        Some(reason) => Err(refused(format!("the job could never run: {reason}"))),
        None => Ok(()),
    }
}

fn check(spec: &Spec, account: &Account) -> Result<(), HttpError> {
    if spec.key.is_empty() || spec.key.len() > MAX_KEY_BYTES {
        return Err(refused(format!(
            "`key` must have 1 to {MAX_KEY_BYTES} bytes"
        )));
    }
    if !(1..=Shape::MAX_TASKS).contains(&spec.shape.tasks) || spec.shape.accelerators == 0 {
        return Err(refused(format!(
            "`shape` needs 1 to {} tasks of at least 1 accelerator",
            Shape::MAX_TASKS
        )));
    }
    if spec.payload.len() > Spec::MAX_PAYLOAD_BYTES {
        return Err(refused(format!(
            "`payload` has {} bytes; at most {} are accepted",
            spec.payload.len(),
            Spec::MAX_PAYLOAD_BYTES
        )));
    }
    if spec.max_attempts == 0 {
        return Err(refused("`max_attempts` is 0; use 1 or more".into()));
    }
    if let Some(place) = &spec.place
        && !account
            .places
            .iter()
            .any(|permitted| permitted.covers(place))
    {
        return Err(refused(format!(
            "client account `{}` does not permit {place}",
            spec.account
        )));
    }
    Ok(())
}

fn parse(instance: &Instance, id: &str) -> Result<(String, u64), HttpError> {
    let missing = || {
        client(
            ClientErrorStatusCode::NOT_FOUND,
            "NoJob",
            format!("there is no job `{id}`; ids look like `group-12`"),
        )
    };
    let (group, number) = id.rsplit_once('-').ok_or_else(missing)?;
    let number = number.parse().map_err(|_| missing())?;
    if !instance.setup().groups.contains_key(group) {
        return Err(missing());
    }
    Ok((group.to_owned(), number))
}

/// Lists jobs of all groups.
#[endpoint { method = GET, path = "/v1/jobs" }]
pub(super) async fn list_jobs(
    context: RequestContext<Context>,
    filter: Params<Filter>,
) -> Result<HttpResponseOk<Vec<JobView>>, HttpError> {
    let instance = &context.context().instance;
    let filter = filter.into_inner();
    let groups: IndexSet<&String> = instance.setup().homes.values().collect();
    let mut views = Vec::new();
    for group in groups {
        let query = Query::Jobs {
            account: filter.account.clone(),
            state: filter.state,
            limit: MAX_LISTED,
        };
        let jobs: Vec<Job> = instance
            .query(group, &query)
            .await
            .map_err(|error| unavailable(&error))?;
        views.extend(jobs.into_iter().map(|job| JobView {
            id: format!("{group}-{}", job.id),
            job,
        }));
    }
    Ok(HttpResponseOk(views))
}

/// Returns one job.
#[endpoint { method = GET, path = "/v1/jobs/{id}" }]
pub(super) async fn show_job(
    context: RequestContext<Context>,
    path: Path<Id>,
) -> Result<HttpResponseOk<JobView>, HttpError> {
    let instance = &context.context().instance;
    let id = path.into_inner().id;
    let job = find(instance, &id).await?;
    Ok(HttpResponseOk(JobView { id, job }))
}

async fn find(instance: &Instance, id: &str) -> Result<Job, HttpError> {
    let (group, number) = parse(instance, id)?;
    let job: Option<Job> = instance
        .query(&group, &Query::Job { id: number })
        .await
        .map_err(|error| unavailable(&error))?;
    job.ok_or_else(|| {
        client(
            ClientErrorStatusCode::NOT_FOUND,
            "NoJob",
            format!("there is no job `{id}`; ended jobs are kept for 7 days"),
        )
    })
}

/// Says in one line why a job waits.
#[endpoint { method = GET, path = "/v1/jobs/{id}/why" }]
pub(super) async fn explain_job(
    context: RequestContext<Context>,
    path: Path<Id>,
) -> Result<HttpResponseOk<WhyView>, HttpError> {
    let instance = &context.context().instance;
    let id = path.into_inner().id;
    let job = find(instance, &id).await?;
    let (group, number) = parse(instance, &id)?;
    let line: Option<String> = instance
        .query(&group, &Query::Why { id: number })
        .await
        .map_err(|error| unavailable(&error))?;
    let state = serde_json::to_value(job.state).unwrap_or_default();
    let line = line
        .filter(|_| !job.state.is_end())
        .unwrap_or_else(|| format!("{}: {}", state.as_str().unwrap_or_default(), job.detail));
    Ok(HttpResponseOk(WhyView { line }))
}

/// Cancels a job.
#[endpoint { method = POST, path = "/v1/jobs/{id}/cancel" }]
pub(super) async fn cancel_job(
    context: RequestContext<Context>,
    path: Path<Id>,
) -> Result<HttpResponseOk<CancelView>, HttpError> {
    let instance = &context.context().instance;
    let id = path.into_inner().id;
    let (group, number) = parse(instance, &id)?;
    let command = Command::Cancel {
        job: number,
        at_ms: instance.setup().clock.wall_ms(),
    };
    let answer = instance.propose(&group, &command).await;
    match answer.map_err(|error| unavailable(&error))? {
        Answer::Cancelled(outcome, job) => Ok(HttpResponseOk(CancelView {
            outcome: match outcome {
                Cancellation::NotRun => "not-run",
                Cancellation::WhileRunning => "while-running",
                Cancellation::AlreadyEnded => "already-ended",
            }
            .into(),
            job: *job,
        })),
        _ => Err(client(
            ClientErrorStatusCode::NOT_FOUND,
            "NoJob",
            format!("there is no job `{id}`"),
        )),
    }
}
