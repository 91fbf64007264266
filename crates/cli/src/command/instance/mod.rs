//! Instances.

mod drain;
mod list;
mod r#return;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Show instances, drain them and return them to service.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "instance",
    example = "trefoilvalve instance list",
    example = "trefoilvalve instance drain NAME"
)]
pub(crate) struct Instance {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    List(list::List),
    Drain(drain::Drain),
    Return(r#return::Return),
}

impl Instance {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::List(command) => command.run(context).await,
            Command::Drain(command) => command.run(context).await,
            Command::Return(command) => command.run(context).await,
        }
    }
}
