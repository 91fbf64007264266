use {
    super::{
        Context,
        error::{client, not_current, unavailable},
        jobs::{admit, destination},
    },
    control::instance::Query,
    dropshot::{
        ClientErrorStatusCode, HttpError, HttpResponseOk, RequestContext, TypedBody, endpoint,
    },
    model::{
        job::{Member, Spec},
        place::Site,
        request::Class,
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What would become of a job, by the leader's knowledge now.
#[derive(Serialize, JsonSchema)]
pub struct JobPlaceView {
    /// Group that would keep the job.
    pub group: String,
    /// Number of the configuration that it was checked against.
    pub configuration: u64,
    /// `starts`, `waits` or `fails`.
    pub outcome: String,
    /// Worker and accelerators of every task, if it would start.
    pub members: Vec<Member>,
    /// Whether it would count against none of the guarantees of its account.
    pub borrowed: bool,
    /// Jobs that would be stopped for it.
    pub stopped: Vec<String>,
    /// Why it would wait or fail.
    pub reason: Option<String>,
}

/// A request that is not sent.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// Client account.
    pub account: String,
    /// Service that it is for.
    pub service: String,
    /// Class.
    #[serde(default)]
    pub class: Class,
    /// Time until its answer must have arrived, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    #[serde(default)]
    pub idempotent: bool,
}

/// What would become of a request at this instance, by what it knows now.
#[derive(Serialize, JsonSchema)]
pub struct RequestPlaceView {
    /// Name of the instance.
    pub instance: String,
    /// `sent`, `queued` or `refused`.
    pub outcome: String,
    /// Upstream that it would be sent to.
    pub upstream: Option<String>,
    /// Site of the upstream.
    pub site: Option<Site>,
    /// Whether the upstream is in another region.
    pub cross_region: bool,
    /// Requests of its queue that would be served before it.
    pub ahead: u64,
    /// Expected wait in milliseconds, or the time after which a refused request may be sent again.
    pub wait_ms: Option<u64>,
    /// Why it would wait or be refused.
    pub reason: Option<String>,
}

/// Tells where a job would run now, without submitting it.
#[endpoint { method = POST, path = "/v1/place/job" }]
pub(super) async fn place_job(
    context: RequestContext<Context>,
    body: TypedBody<Spec>,
) -> Result<HttpResponseOk<JobPlaceView>, HttpError> {
    let instance = &context.context().instance;
    let spec = body.into_inner();
    let config = instance.current().ok_or_else(not_current)?;
    let group = destination(instance, &config, &spec)?;
    admit(instance, &config, &group, &spec).await?;
    let query = Query::Preview {
        spec: Box::new(spec),
        number: config.number,
    };
    let preview: Option<gang::Preview> = instance
        .query(&group, &query)
        .await
        .map_err(|error| unavailable(&error))?;
    let mut view = JobPlaceView {
        configuration: config.number,
        outcome: "waits".to_owned(),
        members: Vec::new(),
        borrowed: false,
        stopped: Vec::new(),
        reason: None,
        group,
    };
    match preview {
        Some(gang::Preview::Starts { members, borrowed }) => {
            view.outcome = "starts".to_owned();
            (view.members, view.borrowed) = (members, borrowed);
        }
        Some(gang::Preview::Waits { reason, stopped }) => {
            let ids = stopped.iter().map(|id| format!("{}-{id}", view.group));
            view.stopped = ids.collect();
            view.reason = Some(reason);
        }
        Some(gang::Preview::Fails { reason }) => {
            view.outcome = "fails".to_owned();
            view.reason = Some(reason);
        }
        None => view.reason = Some("no instance of the group decides on jobs".to_owned()),
    }
    Ok(HttpResponseOk(view))
}

/// Tells where a request would go now from this instance, without sending it.
#[endpoint { method = POST, path = "/v1/place/request" }]
pub(super) async fn place_request(
    context: RequestContext<Context>,
    body: TypedBody<RequestHead>,
) -> Result<HttpResponseOk<RequestPlaceView>, HttpError> {
    let context = context.context();
    let head = body.into_inner();
    if head.deadline_ms == 0 {
        return Err(client(
            ClientErrorStatusCode::UNPROCESSABLE_ENTITY,
            "Refused",
            "`deadline_ms` is 0; give the time until the answer must have arrived".to_owned(),
        ));
    }
    let setup = context.instance.setup();
    let own = setup.instances.get(&setup.id);
    let instance = own.map_or_else(String::new, |place| place.name.clone());
    Ok(HttpResponseOk(RequestPlaceView {
        instance,
        ..context.members.place(&head)
    }))
}
