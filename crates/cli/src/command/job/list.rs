use {
    super::state_word,
    crate::{
        api::JobEntry,
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    model::job::State,
    serde_json::Value,
};

/// List jobs.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "trefoilvalve job list",
    example = "trefoilvalve job list --account reed --state queued --json"
)]
pub(crate) struct List {
    /// only jobs of this client account
    #[argh(option)]
    account: Option<String>,
    /// only jobs in this state
    #[argh(option)]
    state: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl List {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let mut path = "/v1/jobs".to_owned();
        let mut separator = '?';
        if let Some(account) = &self.account {
            path.push_str(&format!(
                "{separator}account={}",
                name("an account", account)?
            ));
            separator = '&';
        }
        if let Some(state) = &self.state {
            path.push_str(&format!("{separator}state={}", state_word(parse(state)?)));
        }
        let (raw, list): (Value, Vec<JobEntry>) = context.read(path, "list jobs").await?;
        if self.json {
            return context.console.json(&raw);
        }
        let rows = list
            .into_iter()
            .map(|entry| {
                let shape = &entry.job.spec.shape;
                [
                    entry.id,
                    entry.job.spec.account.clone(),
                    format!("{:?}", entry.job.spec.class).to_lowercase(),
                    format!("{} x {}", shape.tasks, shape.accelerators),
                    state_word(entry.job.state).to_owned(),
                    burn::utc(entry.job.changed_ms),
                    entry.job.detail,
                ]
            })
            .collect();
        context.console.table(
            ["id", "account", "class", "gang", "state", "since", "reason"],
            rows,
            "no such jobs",
        )
    }
}

fn parse(text: &str) -> Result<State, Error> {
    serde_json::from_value(Value::String(text.to_owned())).map_err(|_| {
        Error::Usage(format!(
            "`{}` is not a state; use queued, placed, starting, running, stopping, done, failed, \
             cancelled or unknown",
            burn::printable(text, 80)
        ))
    })
}
