//! The commands, one file each.

mod data_centre;
mod demo;
mod explain;
mod instance;
mod job;
mod note;
mod place;
mod report;
mod stand_in;
mod trial;
mod upstream;
mod worker;

use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
};

/// Operate trefoilvalve: release notes, jobs, workers, upstreams, data centres and service levels.
#[derive(FromArgs, Debug)]
#[argh(
    example = "trefoilvalve --instances 127.0.0.1:7101,127.0.0.1:7102 note status",
    example = "TREFOILVALVE_INSTANCES=127.0.0.1:7101 trefoilvalve job list",
    note = "Options of all commands may also follow the command. Each command has its own --help.",
    error_code(0, "done"),
    error_code(1, "refused, or the checked file has faults; nothing was changed"),
    error_code(2, "the command line cannot be understood"),
    error_code(3, "another change came first, or the key was used before"),
    error_code(4, "unknown outcome, or an awaited end was not seen"),
    error_code(5, "no instance gave a usable answer; nothing was changed")
)]
pub(crate) struct Arguments {
    /// addresses of instances (A:P,B:P), tried in turn; default: TREFOILVALVE_INSTANCES
    #[argh(option)]
    pub instances: Option<String>,
    /// limit of one try in seconds; default 5
    #[argh(option, default = "5.0")]
    pub try_timeout: f64,
    /// limit of all tries of one call in seconds; default 30
    #[argh(option, default = "30.0")]
    pub timeout: f64,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Note(note::Note),
    Job(job::Job),
    Worker(worker::Worker),
    Instance(instance::Instance),
    Upstream(upstream::Upstream),
    DataCentre(data_centre::DataCentre),
    Place(place::Place),
    Report(report::Report),
    Trial(trial::Trial),
    StandIn(stand_in::StandIn),
    Demo(demo::Demo),
    Explain(explain::Explain),
}

impl Command {
    /// Runs a command that talks to instances or only reads files.
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        match self {
            Command::Note(command) => command.run(context).await,
            Command::Job(command) => command.run(context).await,
            Command::Worker(command) => command.run(context).await,
            Command::Instance(command) => command.run(context).await,
            Command::Upstream(command) => command.run(context).await,
            Command::DataCentre(command) => command.run(context).await,
            Command::Place(command) => command.run(context).await,
            Command::Report(command) => command.run(context).await,
            Command::StandIn(command) => command.run(context).await,
            Command::Trial(command) => command.run(context),
            Command::Demo(command) => command.run(),
            Command::Explain(command) => command.run(context),
        }
    }
}
