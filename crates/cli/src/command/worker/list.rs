use {
    crate::{api::WorkerEntry, context::Context, error::Error},
    argh::FromArgs,
    serde_json::Value,
};

/// List the workers that an instance knows.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "trefoilvalve worker list",
    example = "trefoilvalve worker list --json"
)]
pub(crate) struct List {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl List {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let (raw, mut list): (Value, Vec<WorkerEntry>) =
            context.read("/v1/workers", "list workers").await?;
        if self.json {
            return context.console.json(&raw);
        }
        list.sort_by_cached_key(|entry| entry.worker.name.clone());
        let rows = list
            .into_iter()
            .map(|entry| {
                let state = state(&entry);
                [
                    entry.worker.name,
                    entry.worker.site.to_string(),
                    entry.worker.rack,
                    entry.worker.accelerators.to_string(),
                    entry.tasks.to_string(),
                    burn::span(entry.silent_ms),
                    state,
                ]
            })
            .collect();
        context.console.table(
            [
                "name",
                "site",
                "rack",
                "accelerators",
                "tasks",
                "silent",
                "state",
            ],
            rows,
            "no workers are known",
        )
    }
}

fn state(entry: &WorkerEntry) -> String {
    match (entry.draining, entry.quarantined) {
        (true, true) => "draining, quarantined",
        (true, false) => "draining",
        (false, true) => "quarantined",
        (false, false) => "in service",
    }
    .to_owned()
}
