use {
    crate::{api::UpstreamEntry, context::Context, error::Error},
    argh::FromArgs,
    serde_json::Value,
};

/// List the upstreams that an instance knows.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "trefoilvalve upstream list",
    example = "trefoilvalve upstream list --json"
)]
pub(crate) struct List {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl List {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let (raw, mut list): (Value, Vec<UpstreamEntry>) =
            context.read("/v1/upstreams", "list upstreams").await?;
        if self.json {
            return context.console.json(&raw);
        }
        list.sort_by_cached_key(|entry| entry.upstream.name.clone());
        let rows = list
            .into_iter()
            .map(|entry| {
                [
                    entry.upstream.name,
                    entry.upstream.service,
                    entry.upstream.site.to_string(),
                    entry.upstream.address,
                    entry.upstream.slots.to_string(),
                    burn::span(entry.silent_ms),
                    if entry.departing { "departing" } else { "-" }.to_owned(),
                ]
            })
            .collect();
        context.console.table(
            [
                "name", "service", "site", "address", "slots", "silent", "state",
            ],
            rows,
            "no upstreams are known",
        )
    }
}
