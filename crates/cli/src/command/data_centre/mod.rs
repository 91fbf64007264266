//! Data centres.

mod evacuate;
mod list;
mod readmit;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Show data centres, evacuate them and take them back.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "data-centre",
    example = "trefoilvalve data-centre list",
    example = "trefoilvalve data-centre evacuate NAME"
)]
pub(crate) struct DataCentre {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    List(list::List),
    Evacuate(evacuate::Evacuate),
    Readmit(readmit::Readmit),
}

impl DataCentre {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::List(command) => command.run(context).await,
            Command::Evacuate(command) => command.run(context).await,
            Command::Readmit(command) => command.run(context).await,
        }
    }
}
