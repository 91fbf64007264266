use {
    super::Context,
    burn::{Report, Snapshot},
    dropshot::{HttpError, HttpResponseOk, RequestContext, endpoint},
    model::config::Config,
};

/// Merges the counts of all instances into the report on service levels.
#[endpoint { method = GET, path = "/v1/report" }]
pub(super) async fn show_report(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Report>, HttpError> {
    let instance = &context.context().instance;
    let setup = instance.setup();
    let mut snapshots: Vec<Snapshot> = Vec::new();
    let mut missing = Vec::new();
    for (id, counts) in instance.counts().await {
        let counts = counts.and_then(|bytes| serde_json::from_slice(&bytes).ok());
        match (counts, setup.instances.get(&id)) {
            (Some(snapshot), _) => snapshots.push(snapshot),
            (None, Some(place)) => missing.push(&place.name),
            (None, None) => {}
        }
    }
    let config = instance.applied();
    let empty = Config::default();
    let config = config.as_deref().unwrap_or(&empty);
    let report = Report::new(&snapshots, config, setup.clock.wall_ms());
    Ok(HttpResponseOk(report.without(missing)))
}
