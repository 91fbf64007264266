use {
    crate::{api::InstanceEntry, context::Context, error::Error},
    argh::FromArgs,
    serde_json::Value,
};

/// List the instances of the deployment.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "trefoilvalve instance list",
    example = "trefoilvalve instance list --json"
)]
pub(crate) struct List {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl List {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let (raw, mut list): (Value, Vec<InstanceEntry>) =
            context.read("/v1/instances", "list instances").await?;
        if self.json {
            return context.console.json(&raw);
        }
        list.sort_by_cached_key(|entry| entry.name.clone());
        let rows = list
            .into_iter()
            .map(|entry| {
                [
                    entry.name,
                    entry.site.to_string(),
                    if entry.control { "yes" } else { "no" }.to_owned(),
                    entry
                        .applied
                        .map_or_else(|| "-".to_owned(), |n| n.to_string()),
                    match (entry.live, entry.draining) {
                        (false, _) => "not heard of",
                        (true, true) => "draining",
                        (true, false) => "in service",
                    }
                    .to_owned(),
                ]
            })
            .collect();
        context.console.table(
            ["name", "site", "control", "configuration", "state"],
            rows,
            "no instances are known",
        )
    }
}
