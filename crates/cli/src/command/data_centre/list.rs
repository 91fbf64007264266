use {
    crate::{api::DataCentreEntry, context::Context, error::Error},
    argh::FromArgs,
    serde_json::Value,
};

/// List the data centres with their machines, what runs there and whether they are evacuated.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "trefoilvalve data-centre list",
    example = "trefoilvalve data-centre list --json"
)]
pub(crate) struct List {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl List {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let (raw, mut list): (Value, Vec<DataCentreEntry>) = context
            .read("/v1/data-centres", "list data centres")
            .await?;
        if self.json {
            return context.console.json(&raw);
        }
        list.sort_by_cached_key(|entry| entry.name.clone());
        let rows = list
            .into_iter()
            .map(|entry| {
                let state = match entry.evacuated_for_ms {
                    Some(for_ms) => format!("evacuated for {}", burn::span(for_ms)),
                    None => "in service".to_owned(),
                };
                [
                    entry.name,
                    entry.machines.to_string(),
                    entry.runs.to_string(),
                    state,
                ]
            })
            .collect();
        context.console.table(
            ["name", "machines", "runs", "state"],
            rows,
            "no data centres are known",
        )
    }
}
