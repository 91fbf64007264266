//! Where a job or a request would go now.

mod job;
mod request;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Tell where a job or a request would go now, and why, without sending it.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "place",
    example = "trefoilvalve place job job.jsonc",
    example = "trefoilvalve place request --account reed --service fit",
    note = "Nothing is reserved: what is submitted a moment later may go elsewhere."
)]
pub(crate) struct Place {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Job(job::Job),
    Request(request::Request),
}

impl Place {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::Job(command) => command.run(context).await,
            Command::Request(command) => command.run(context).await,
        }
    }
}
