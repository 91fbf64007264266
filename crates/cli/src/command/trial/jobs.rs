use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Run the experiment on the scheduling of jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "jobs", example = "trefoilvalve trial jobs")]
pub(crate) struct Jobs {}

impl Jobs {
    pub(crate) fn run(&self, _: &mut Context<'_>) -> Result<(), Error> {
        Err(Error::Refused(
            "this build has no experiment on jobs; nothing was run".to_owned(),
        ))
    }
}
