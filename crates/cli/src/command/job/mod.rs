//! Jobs.

mod cancel;
mod list;
mod show;
pub(crate) mod submit;
mod wait;
mod why;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
    model::job::State,
};

/// Submit, show, cancel and await jobs.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "job",
    example = "trefoilvalve job submit job.jsonc",
    example = "trefoilvalve job why vestland-12"
)]
pub(crate) struct Job {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Submit(submit::Submit),
    List(list::List),
    Show(show::Show),
    Why(why::Why),
    Cancel(cancel::Cancel),
    Wait(wait::Wait),
}

impl Job {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match &self.command {
            Command::Submit(command) => command.run(context).await,
            Command::List(command) => command.run(context).await,
            Command::Show(command) => command.run(context).await,
            Command::Why(command) => command.run(context).await,
            Command::Cancel(command) => command.run(context).await,
            Command::Wait(command) => command.run(context).await,
        }
    }
}

/// Returns the word of the API for a state.
fn state_word(state: State) -> &'static str {
    match state {
        State::Queued => "queued",
        State::Placed => "placed",
        State::Starting => "starting",
        State::Running => "running",
        State::Stopping => "stopping",
        State::Done => "done",
        State::Failed => "failed",
        State::Cancelled => "cancelled",
        State::Unknown => "unknown",
    }
}

/// Returns a state and its reason.
fn state_text(job: &model::job::Job) -> String {
    let word = state_word(job.state);
    if job.detail.is_empty() || job.detail == word {
        word.to_owned()
    } else {
        format!("{word} ({})", burn::printable(&job.detail, 300))
    }
}
