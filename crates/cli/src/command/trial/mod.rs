//! Seeded experiments.

mod jobs;
mod requests;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Run seeded experiments on a virtual clock and print the target table.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trial", example = "trefoilvalve trial jobs")]
pub(crate) struct Trial {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Jobs(jobs::Jobs),
    Requests(requests::Requests),
}

impl Trial {
    pub(crate) fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::Jobs(command) => command.run(context),
            Command::Requests(command) => command.run(context),
        }
    }
}
