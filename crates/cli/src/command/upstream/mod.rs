//! Upstreams.

mod list;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Show upstreams.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "upstream", example = "trefoilvalve upstream list")]
pub(crate) struct Upstream {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    List(list::List),
}

impl Upstream {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::List(command) => command.run(context).await,
        }
    }
}
