//! Release notes.

mod apply;
mod check;
mod diff;
mod history;
mod status;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Check, compare and apply release notes, and show the configuration.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "note",
    example = "trefoilvalve note check note-1.jsonc",
    example = "trefoilvalve note apply note-1.jsonc --expected 0 --wait"
)]
pub(crate) struct Note {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Diff(diff::Diff),
    Apply(apply::Apply),
    Status(status::Status),
    History(history::History),
}

impl Note {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::Check(command) => command.run(context),
            Command::Diff(command) => command.run(context),
            Command::Apply(command) => command.run(context).await,
            Command::Status(command) => command.run(context).await,
            Command::History(command) => command.run(context).await,
        }
    }
}
