use argh::FromArgs;

/// Run a demonstration with stand-in workers and upstreams in this process.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo", example = "trefoilvalve demo")]
pub(crate) struct Demo {}
