use {
    super::seeds,
    crate::{context::Context, error::Error},
    argh::FromArgs,
    trial::requests::{Options, run},
};

/// Run the experiment on the scheduling of requests.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "requests",
    example = "trefoilvalve trial requests",
    example = "trefoilvalve trial requests --seeds 3"
)]
pub(crate) struct Requests {
    /// number of seeds, 1 to 1000; default 10
    #[argh(option, default = "10")]
    seeds: u64,
}

impl Requests {
    pub(crate) fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let options = Options {
            seeds: seeds(self.seeds)?,
            ..Options::default()
        };
        context.console.line(run(options).to_string().trim_end())
    }
}
