use {
    crate::{
        api,
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Tell why a job waits and what would unblock it.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "why",
    example = "trefoilvalve job why vestland-12",
    example = "trefoilvalve job why vestland-12 --json"
)]
pub(crate) struct Why {
    /// id of the job
    #[argh(positional)]
    id: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Why {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let id = name("a job", &self.id)?;
        let (raw, why): (Value, api::Why) = context
            .read(
                format!("/v1/jobs/{id}/why"),
                format!("tell why job {id} waits"),
            )
            .await?;
        if self.json {
            return context.console.json(&raw);
        }
        context.console.line(why.line)
    }
}
