//! Seeded experiments.

mod jobs;
mod requests;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
    std::ops::Range,
};

/// Largest number of seeds; more would run for hours.
const MAX_SEEDS: u64 = 1000;

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

/// The first `count` seeds.
fn seeds(count: u64) -> Result<Range<u64>, Error> {
    if (1..=MAX_SEEDS).contains(&count) {
        Ok(1..count + 1)
    } else {
        Err(Error::Usage(format!(
            "--seeds is {count}; give a number from 1 to {MAX_SEEDS}"
        )))
    }
}
