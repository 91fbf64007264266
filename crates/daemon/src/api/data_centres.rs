use {
    super::{
        Context,
        error::{client, unavailable},
    },
    control::{
        instance::{Error, Query, WorkerView},
        state::{Answer, Command},
    },
    dropshot::{ClientErrorStatusCode, HttpError, HttpResponseOk, Path, RequestContext, endpoint},
    indexmap::{IndexMap, IndexSet},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Longest name of a data centre, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A data centre with workers, or one that is evacuated.
#[derive(Default, Serialize, JsonSchema)]
pub struct DataCentreView {
    /// Its name, without its region.
    pub name: String,
    /// Time since it was evacuated; none if it is not.
    pub evacuated_for_ms: Option<u64>,
    /// Number of its workers.
    pub machines: u64,
    /// Number of tasks that they hold.
    pub runs: u64,
}

/// Names a data centre.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Name {
    name: String,
}

/// An empty answer.
type Done = HttpResponseOk<IndexMap<String, String>>;

/// Lists the data centres of all regions.
#[endpoint { method = GET, path = "/v1/data-centres" }]
pub(super) async fn list_data_centres(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Vec<DataCentreView>>, HttpError> {
    let instance = &context.context().instance;
    let now_ms = instance.setup().clock.wall_ms();
    let mut found: IndexMap<String, DataCentreView> = IndexMap::new();
    for group in groups(context.context()) {
        let workers: Vec<WorkerView> = instance
            .query(&group, &Query::Workers)
            .await
            .map_err(|error| unavailable(&error))?;
        for view in workers {
            let entry = found.entry(view.worker.site.data_centre).or_default();
            entry.machines += 1;
            entry.runs += view.tasks as u64;
        }
        let evacuated: IndexMap<String, u64> = instance
            .query(&group, &Query::Evacuations)
            .await
            .map_err(|error| unavailable(&error))?;
        for (name, since_ms) in evacuated {
            let entry = found.entry(name).or_default();
            entry.evacuated_for_ms = Some(now_ms.saturating_sub(since_ms));
        }
    }
    let views = found
        .into_iter()
        .map(|(name, entry)| DataCentreView { name, ..entry });
    Ok(HttpResponseOk(views.collect()))
}

/// Evacuates a data centre; its tasks run to their end, new gangs go elsewhere.
#[endpoint { method = POST, path = "/v1/data-centres/{name}/evacuate" }]
pub(super) async fn evacuate_data_centre(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<Done, HttpError> {
    set(context.context(), path.into_inner().name, true).await
}

/// Takes a data centre back.
#[endpoint { method = POST, path = "/v1/data-centres/{name}/readmit" }]
pub(super) async fn readmit_data_centre(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<Done, HttpError> {
    set(context.context(), path.into_inner().name, false).await
}

/// Groups that keep jobs. Each has a copy of the orders, as a data centre may have workers of several groups.
fn groups(context: &Context) -> IndexSet<String> {
    context.instance.setup().homes.values().cloned().collect()
}

async fn set(context: &Context, name: String, evacuated: bool) -> Result<Done, HttpError> {
    let refused = |message: String| {
        let status = ClientErrorStatusCode::UNPROCESSABLE_ENTITY;
        client(status, "Refused", message)
    };
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(refused(format!(
            "the name of the data centre has {} bytes; give 1 to {MAX_NAME_BYTES}",
            name.len()
        )));
    }
    let command = Command::EvacuateDataCentre {
        data_centre: name,
        evacuated,
        at_ms: context.instance.setup().clock.wall_ms(),
    };
    let mut is_changed = false;
    for group in groups(context) {
        match context.instance.propose(&group, &command).await {
            Ok(Answer::Full) => {
                return Err(refused("too many data centres are evacuated".to_owned()));
            }
            Ok(_) => is_changed = true,
            // The order is in force in an earlier group.
            Err(Error::NotRun(reason)) if is_changed => {
                return Err(unavailable(&Error::Unknown(reason)));
            }
            Err(error) => return Err(unavailable(&error)),
        }
    }
    Ok(HttpResponseOk(IndexMap::new()))
}
