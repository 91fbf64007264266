use {crate::error::Error, argh::FromArgs, std::process::ExitCode};

/// Run a demonstration with stand-in workers and upstreams in this process.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo", example = "trefoilvalve demo")]
pub(crate) struct Demo {}

impl Demo {
    pub(crate) fn run(&self) -> Result<(), Error> {
        if crate::demo::run() == ExitCode::SUCCESS {
            Ok(())
        } else {
            Err(Error::Refused(
                "the demonstration failed; the lines above say at which step".to_owned(),
            ))
        }
    }
}
