use {
    super::{Context, RequestHead, RequestPlaceView, error::client},
    dropshot::{
        ClientErrorStatusCode, HttpError, HttpResponseOk, Path, RequestContext, TypedBody, endpoint,
    },
    indexmap::IndexMap,
    model::upstream::{Announcement, Upstream},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What the endpoints need of the request path's membership.
pub trait Members: Send + Sync {
    /// Takes an announcement; the error says what is wrong with it.
    fn hear(&self, announcement: Announcement) -> Result<(), String>;

    /// Marks an upstream as departing; false if it is not known.
    fn depart(&self, name: &str) -> bool;

    /// What would become of a request if it arrived now.
    fn place(&self, head: &RequestHead) -> RequestPlaceView;

    /// Every known upstream.
    fn list(&self) -> Vec<UpstreamView>;
}

/// An upstream as this instance knows it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamView {
    /// As announced.
    pub upstream: Upstream,
    /// Time since its last announcement.
    pub silent_ms: u64,
    /// Whether it gets no new work because it departs.
    pub departing: bool,
}

/// Names an upstream.
#[derive(Deserialize, JsonSchema)]
pub(super) struct Name {
    name: String,
}

/// Takes the announcement of an upstream.
#[endpoint { method = POST, path = "/v1/upstreams" }]
pub(super) async fn announce_upstream(
    context: RequestContext<Context>,
    body: TypedBody<Announcement>,
) -> Result<HttpResponseOk<IndexMap<String, String>>, HttpError> {
    let context = context.context();
    let heard = context.members.hear(body.into_inner());
    context.metrics.announced("upstream", heard.is_ok());
    heard.map_err(|reason| {
        client(
            ClientErrorStatusCode::UNPROCESSABLE_ENTITY,
            "Refused",
            reason,
        )
    })?;
    Ok(HttpResponseOk(IndexMap::new()))
}

/// Takes the departure of an upstream.
#[endpoint { method = DELETE, path = "/v1/upstreams/{name}" }]
pub(super) async fn depart_upstream(
    context: RequestContext<Context>,
    path: Path<Name>,
) -> Result<HttpResponseOk<IndexMap<String, String>>, HttpError> {
    let name = path.into_inner().name;
    if context.context().members.depart(&name) {
        return Ok(HttpResponseOk(IndexMap::new()));
    }
    Err(client(
        ClientErrorStatusCode::NOT_FOUND,
        "NoUpstream",
        format!("no upstream `{name}` is announced here yet; try again after its announcement"),
    ))
}

/// Lists the upstreams.
#[endpoint { method = GET, path = "/v1/upstreams" }]
pub(super) async fn list_upstreams(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Vec<UpstreamView>>, HttpError> {
    Ok(HttpResponseOk(context.context().members.list()))
}
