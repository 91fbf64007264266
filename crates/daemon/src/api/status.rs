use {
    super::Context,
    dropshot::{Body, HttpError, HttpResponseOk, RequestContext, endpoint},
    http::{Response, StatusCode},
    model::place::Site,
    schemars::JsonSchema,
    serde::Serialize,
};

/// What this instance knows of itself.
#[derive(Serialize, JsonSchema)]
pub struct StatusView {
    /// Name of the instance.
    pub instance: String,
    /// Where it stands.
    pub site: Site,
    /// Number of the configuration it has applied.
    pub number: u64,
    /// Time until its lease on the configuration ends.
    pub lease_ms: u64,
    /// Whether the balancer should send requests here.
    pub ready: bool,
    /// Its replicas.
    pub groups: Vec<GroupView>,
}

/// A replica.
#[derive(Serialize, JsonSchema)]
pub struct GroupView {
    /// Name of the group.
    pub name: String,
    /// Name of the leading instance, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Names of the voters.
    pub members: Vec<String>,
    /// Names of the learners.
    pub learners: Vec<String>,
    /// Why the replica stopped, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stopped: Option<String>,
}

/// Returns the state of this instance.
#[endpoint { method = GET, path = "/v1/status" }]
pub(super) async fn show_status(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<StatusView>, HttpError> {
    let context = context.context();
    let instance = &context.instance;
    let setup = instance.setup();
    let name = |id: &u64| setup.instances.get(id).map(|place| place.name.clone());
    let groups = instance.groups().map(|group| {
        let view = group.view();
        GroupView {
            name: group.name().to_owned(),
            leader: view.leader.as_ref().and_then(name),
            term: view.term,
            commit: view.commit_index,
            members: view
                .members
                .voters
                .iter()
                .filter_map(|m| name(&m.id))
                .collect(),
            learners: view
                .members
                .learners
                .iter()
                .filter_map(|m| name(&m.id))
                .collect(),
            stopped: view.stop_reason,
        }
    });
    let own = setup.instances.get(&setup.id);
    let own = own.ok_or_else(|| HttpError::for_internal_error("instance not listed".into()))?;
    Ok(HttpResponseOk(StatusView {
        instance: own.name.clone(),
        site: own.site.clone(),
        number: instance.number(),
        lease_ms: instance.lease().as_millis() as u64,
        ready: context.is_ready(),
        groups: groups.collect(),
    }))
}

/// Tells the balancer whether to send requests here.
#[endpoint { method = GET, path = "/ready" }]
pub(super) async fn show_ready(
    context: RequestContext<Context>,
) -> Result<Response<Body>, HttpError> {
    let (status, text) = if context.context().is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    text_answer(status, text.as_bytes().to_vec())
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
pub(super) async fn show_metrics(
    context: RequestContext<Context>,
) -> Result<Response<Body>, HttpError> {
    let context = context.context();
    let text = context
        .metrics
        .text(&context.instance, context.is_ready())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    text_answer(StatusCode::OK, text)
}

fn text_answer(status: StatusCode, text: Vec<u8>) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header("content-type", "text/plain; version=0.0.4")
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
