use {
    super::{
        Context,
        error::{client, unavailable},
    },
    control::{
        instance::{Query, WorkerView},
        state::Command,
    },
    dropshot::{
        ClientErrorStatusCode, HttpError, HttpResponseOk, Path, RequestContext, TypedBody, endpoint,
    },
    indexmap::{IndexMap, IndexSet},
    model::worker::Announcement,
    schemars::JsonSchema,
    serde::Deserialize,
};

/// Names a worker.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Name {
    name: String,
}

/// An empty answer.
type Done = HttpResponseOk<IndexMap<String, String>>;

/// Takes the announcement of a worker.
#[endpoint { method = POST, path = "/v1/workers" }]
pub(super) async fn announce_worker(
    context: RequestContext<Context>,
    body: TypedBody<Announcement>,
) -> Result<Done, HttpError> {
    let context = context.context();
    let heard = context.instance.hear_worker(body.into_inner());
    context.metrics.announced("worker", heard.is_ok());
    heard.map_err(|error| {
        let message = error.to_string();
        client(
            ClientErrorStatusCode::UNPROCESSABLE_ENTITY,
            "Refused",
            message,
        )
    })?;
    Ok(HttpResponseOk(IndexMap::new()))
}

/// Lists the workers of all regions.
#[endpoint { method = GET, path = "/v1/workers" }]
pub(super) async fn list_workers(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Vec<serde_json::Value>>, HttpError> {
    let instance = &context.context().instance;
    let groups: IndexSet<&String> = instance.setup().homes.values().collect();
    let mut all = Vec::new();
    for group in groups {
        let workers: Vec<WorkerView> = instance
            .query(group, &Query::Workers)
            .await
            .map_err(|error| unavailable(&error))?;
        all.extend(
            workers
                .iter()
                .filter_map(|view| serde_json::to_value(view).ok()),
        );
    }
    Ok(HttpResponseOk(all))
}

/// Takes a worker out of service; its tasks run to their end.
#[endpoint { method = POST, path = "/v1/workers/{name}/drain" }]
pub(super) async fn drain_worker(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<Done, HttpError> {
    set(context.context(), path.into_inner().name, true).await
}

/// Returns a worker to service.
#[endpoint { method = POST, path = "/v1/workers/{name}/return" }]
pub(super) async fn return_worker(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<Done, HttpError> {
    set(context.context(), path.into_inner().name, false).await
}

async fn set(context: &Context, name: String, drained: bool) -> Result<Done, HttpError> {
    let instance = &context.instance;
    let groups: IndexSet<&String> = instance.setup().homes.values().collect();
    for group in groups {
        let workers: Vec<WorkerView> = instance
            .query(group, &Query::Workers)
            .await
            .map_err(|error| unavailable(&error))?;
        let known = workers.iter().any(|view| view.worker.name == name);
        if known || !drained {
            let command = Command::DrainWorker {
                worker: name.clone(),
                drained,
            };
            let answer = instance.propose(group, &command).await;
            answer.map_err(|error| unavailable(&error))?;
        }
        if known {
            return Ok(HttpResponseOk(IndexMap::new()));
        }
    }
    Err(client(
        ClientErrorStatusCode::NOT_FOUND,
        "NoWorker",
        format!("no worker `{name}` is announced; list the workers to see their names"),
    ))
}
