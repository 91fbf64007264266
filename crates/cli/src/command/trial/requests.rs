use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Run the experiment on the scheduling of requests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "requests", example = "trefoilvalve trial requests")]
pub(crate) struct Requests {}

impl Requests {
    pub(crate) fn run(&self, _: &mut Context<'_>) -> Result<(), Error> {
        Err(Error::Refused(
            "this build has no experiment on requests; nothing was run".to_owned(),
        ))
    }
}
