use {
    super::{
        Context,
        error::{client, unavailable},
    },
    control::{instance::Query, state::Command},
    dropshot::{ClientErrorStatusCode, HttpError, HttpResponseOk, Path, RequestContext, endpoint},
    indexmap::{IndexMap, IndexSet},
    model::place::Site,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Group that keeps the configuration and the drains of instances.
const CONFIG: &str = "config";

/// An instance as the config leader knows it.
#[derive(Serialize, JsonSchema)]
pub struct InstanceView {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub site: Site,
    /// Whether it is a member of some group.
    pub control: bool,
    /// Number that it last reported as applied.
    pub applied: Option<u64>,
    /// Whether it holds a lease on the configuration.
    pub live: bool,
    /// Whether an operator drains it.
    pub draining: bool,
}

/// Names an instance.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Name {
    name: String,
}

/// Lists the instances of the deployment.
#[endpoint { method = GET, path = "/v1/instances" }]
pub(super) async fn list_instances(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Vec<InstanceView>>, HttpError> {
    let instance = &context.context().instance;
    let followers: Vec<(u64, Option<u64>)> = instance
        .query(CONFIG, &Query::Followers)
        .await
        .map_err(|error| unavailable(&error))?;
    let drained: IndexSet<String> = instance
        .query(CONFIG, &Query::Drains)
        .await
        .map_err(|error| unavailable(&error))?;
    let setup = instance.setup();
    let views = setup.instances.iter().map(|(id, place)| {
        let applied = followers
            .iter()
            .find(|(other, _)| other == id)
            .and_then(|(_, n)| *n);
        InstanceView {
            name: place.name.clone(),
            site: place.site.clone(),
            control: setup.groups.values().any(|ids| ids.contains(id)),
            applied,
            live: applied.is_some(),
            draining: drained.contains(&place.name),
        }
    });
    Ok(HttpResponseOk(views.collect()))
}

/// Takes an instance out of the balancer; it finishes what it has.
#[endpoint { method = POST, path = "/v1/instances/{name}/drain" }]
pub(super) async fn drain_instance(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<HttpResponseOk<IndexMap<String, String>>, HttpError> {
    set(context.context(), path.into_inner().name, true).await
}

/// Returns an instance to the balancer.
#[endpoint { method = POST, path = "/v1/instances/{name}/return" }]
pub(super) async fn return_instance(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<HttpResponseOk<IndexMap<String, String>>, HttpError> {
    set(context.context(), path.into_inner().name, false).await
}

async fn set(
    context: &Context,
    name: String,
    drained: bool,
) -> Result<HttpResponseOk<IndexMap<String, String>>, HttpError> {
    let instance = &context.instance;
    if !instance
        .setup()
        .instances
        .values()
        .any(|place| place.name == name)
    {
        return Err(client(
            ClientErrorStatusCode::NOT_FOUND,
            "NoInstance",
            format!("no instance is named `{name}`; list the instances to see their names"),
        ));
    }
    let command = Command::DrainInstance {
        instance: name,
        drained,
    };
    let answer = instance.propose(CONFIG, &command).await;
    answer.map_err(|error| unavailable(&error))?;
    Ok(HttpResponseOk(IndexMap::new()))
}
