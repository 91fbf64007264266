use {
    super::seeds,
    crate::{context::Context, error::Error},
    argh::FromArgs,
    trial::jobs::{Options, run},
};

/// Run the experiment on the scheduling of jobs.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "jobs",
    example = "trefoilvalve trial jobs",
    example = "trefoilvalve trial jobs --seeds 3"
)]
pub(crate) struct Jobs {
    /// number of seeds, 1 to 1000; default 10
    #[argh(option, default = "10")]
    seeds: u64,
}

impl Jobs {
    pub(crate) fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let options = Options {
            seeds: seeds(self.seeds)?.collect(),
            ..Options::default()
        };
        context.console.line(run(&options).to_string().trim_end())
    }
}
