use {
    super::{
        Context,
        answer::json,
        error::{client, not_current, unavailable, unexpected},
    },
    control::{
        instance::{Force, Instance, Query},
        state::{Answer, Command, Record},
    },
    dropshot::{
        Body, ClientErrorStatusCode, HttpError, HttpResponseOk, Path, Query as Params,
        RequestContext, TypedBody, endpoint,
    },
    http::{Response, StatusCode},
    indexmap::IndexSet,
    model::{
        config::Config,
        note::{Note, Outcome, Submission},
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Group that keeps the configuration.
const CONFIG: &str = "config";

/// Notes returned at once if the caller names no limit.
const DEFAULT_LIMIT: usize = 100;

/// Largest number of notes returned at once.
const MAX_LIMIT: usize = 1000;

/// Longest key of a submission in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An accepted note.
#[derive(Serialize, JsonSchema)]
pub struct NoteView {
    /// The number it made current.
    pub number: u64,
    /// Key of its submission.
    pub key: String,
    /// Its summary.
    pub summary: String,
    /// Milliseconds since the Unix epoch at acceptance.
    pub at_ms: u64,
    /// The note; only when one note is asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub note: Option<Note>,
}

/// Whether a number is in force everywhere.
#[derive(Serialize, JsonSchema)]
pub struct ForceView {
    /// The number asked for.
    pub number: u64,
    /// Whether no instance may use an older number.
    pub in_force: bool,
    /// Names of the instances that may.
    pub missing: Vec<String>,
}

/// Selects notes of the history.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Range {
    after: Option<u64>,
    limit: Option<usize>,
}

/// Names a note.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Number {
    number: u64,
}

/// Submits a release note.
#[endpoint { method = POST, path = "/v1/notes" }]
pub(super) async fn submit_note(
    context: RequestContext<Context>,
    body: TypedBody<Submission>,
) -> Result<Response<Body>, HttpError> {
    let instance = &context.context().instance;
    let submission = body.into_inner();
    if submission.key.is_empty() || submission.key.len() > MAX_KEY_BYTES {
        let message = format!("`key` must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(client(ClientErrorStatusCode::BAD_REQUEST, "Key", message));
    }
    if let Some(faults) = unproved(instance, &submission).await? {
        return json(
            StatusCode::UNPROCESSABLE_ENTITY,
            &Outcome::Refused { faults },
        );
    }
    let command = Command::Note {
        submission: Box::new(submission),
        at_ms: instance.setup().clock.wall_ms(),
    };
    let answer = instance.propose(CONFIG, &command).await;
    let Answer::Note(outcome) = answer.map_err(|error| unavailable(&error))? else {
        return Err(unexpected());
    };
    let status = match outcome {
        Outcome::Accepted { .. } => StatusCode::OK,
        Outcome::Conflict { .. } | Outcome::KeyReused => StatusCode::CONFLICT,
        Outcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
    };
    log::info!("event=note_decided status={}", status.as_u16());
    json(status, &outcome)
}

/// Reasons for which the guarantees of a note cannot be proved. A submission that was decided before, or
/// that expects another number, is left to the state machine, so that a resend gets its first outcome.
async fn unproved(
    instance: &Instance,
    submission: &Submission,
) -> Result<Option<Vec<String>>, HttpError> {
    let key = submission.key.clone();
    let decided: Option<Outcome> = instance
        .query(CONFIG, &Query::Outcome { key })
        .await
        .map_err(|error| unavailable(&error))?;
    let Some(config) = instance
        .current()
        .filter(|config| config.number == submission.expected)
    else {
        return Ok(None);
    };
    let Ok(next) = config.apply(&submission.note) else {
        return Ok(None);
    };
    if decided.is_some() {
        return Ok(None);
    }
    let mut faults = Vec::new();
    for (group, accounts) in touched(instance, &submission.note, &next) {
        let query = Query::Check {
            config: Box::new(next.clone()),
            accounts: accounts.into_iter().collect(),
        };
        let lines: Vec<String> = instance
            .query(&group, &query)
            .await
            .map_err(|error| unavailable(&error))?;
        faults.extend(lines);
    }
    Ok((!faults.is_empty()).then_some(faults))
}

/// Groups whose workers must prove guarantees that a note adds or changes, with the accounts concerned.
fn touched(instance: &Instance, note: &Note, next: &Config) -> Vec<(String, IndexSet<String>)> {
    let added = note.add.keys();
    let changed = note
        .change
        .iter()
        .filter(|(_, change)| !change.guarantees.is_empty());
    let accounts: IndexSet<&String> = added.chain(changed.map(|(name, _)| name)).collect();
    let mut groups: Vec<(String, IndexSet<String>)> = Vec::new();
    for name in accounts {
        let guarantees = next
            .accounts
            .get(name)
            .map(|account| account.guarantees.values());
        for guarantee in guarantees.into_iter().flatten() {
            let Some(home) = instance.home(guarantee.place.region()) else {
                continue;
            };
            match groups.iter_mut().find(|(group, _)| group == home) {
                Some((_, names)) => drop(names.insert(name.clone())),
                None => groups.push((home.to_owned(), IndexSet::from([name.clone()]))),
            }
        }
    }
    groups
}

/// Lists accepted notes, oldest first.
#[endpoint { method = GET, path = "/v1/notes" }]
pub(super) async fn list_notes(
    context: RequestContext<Context>,
    range: Params<Range>,
) -> Result<HttpResponseOk<Vec<NoteView>>, HttpError> {
    let range = range.into_inner();
    let query = Query::Notes {
        after: range.after.unwrap_or(0),
        limit: range.limit.unwrap_or(DEFAULT_LIMIT).min(MAX_LIMIT),
    };
    let records = records(&context.context().instance, &query).await?;
    let views = records.into_iter().map(|record| view(record, false));
    Ok(HttpResponseOk(views.collect()))
}

/// Returns one accepted note.
#[endpoint { method = GET, path = "/v1/notes/{number}" }]
pub(super) async fn show_note(
    context: RequestContext<Context>,
    path: Path<Number>,
) -> Result<HttpResponseOk<NoteView>, HttpError> {
    let number = path.into_inner().number;
    let query = Query::Notes {
        after: number.saturating_sub(1),
        limit: 1,
    };
    let records = records(&context.context().instance, &query).await?;
    match records
        .into_iter()
        .next()
        .filter(|record| record.number == number)
    {
        Some(record) => Ok(HttpResponseOk(view(record, true))),
        None => Err(client(
            ClientErrorStatusCode::NOT_FOUND,
            "NoNote",
            format!("note {number} is not in the history; list the history to see its range"),
        )),
    }
}

/// Tells whether a number is in force everywhere and which instances are missing.
#[endpoint { method = GET, path = "/v1/notes/{number}/force" }]
pub(super) async fn show_force(
    context: RequestContext<Context>,
    path: Path<Number>,
) -> Result<HttpResponseOk<ForceView>, HttpError> {
    let instance = &context.context().instance;
    let number = path.into_inner().number;
    let force: Force = instance
        .query(CONFIG, &Query::Force { number })
        .await
        .map_err(|error| unavailable(&error))?;
    let names = force
        .missing
        .iter()
        .filter_map(|id| instance.setup().instances.get(id));
    Ok(HttpResponseOk(ForceView {
        number,
        in_force: force.in_force,
        missing: names.map(|place| place.name.clone()).collect(),
    }))
}

/// Returns the configuration that this instance has applied.
#[endpoint { method = GET, path = "/v1/config" }]
pub(super) async fn show_config(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Config>, HttpError> {
    match context.context().instance.current() {
        Some(config) => Ok(HttpResponseOk((*config).clone())),
        None => Err(not_current()),
    }
}

async fn records(instance: &Instance, query: &Query) -> Result<Vec<Record>, HttpError> {
    instance
        .query(CONFIG, query)
        .await
        .map_err(|error| unavailable(&error))
}

fn view(record: Record, whole: bool) -> NoteView {
    NoteView {
        number: record.number,
        key: record.key,
        summary: record.note.summary.clone(),
        at_ms: record.at_ms,
        note: whole.then_some(record.note),
    }
}
