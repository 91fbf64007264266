//! `trefoilvalved`: one instance of the system.

mod recover;

use {
    argh::FromArgs,
    daemon::{Daemon, Error, Options, logs},
    platform::Role,
    settings::Settings,
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for any other failure to start.
const EXIT_START: u8 = 1;

/// Exit code of a shutdown that left requests unfinished.
const EXIT_LEFT: u8 = 3;

/// Exit code of a recovery that was refused; nothing was changed.
const EXIT_REFUSED: u8 = 4;

/// Runs one instance of trefoilvalve.
///
/// Exit codes: 0 after a graceful shutdown or a recovery, 1 cannot start, 2 settings cannot be used, 3 requests
/// were left unfinished at the end of the drain, 4 a recovery was refused.
#[derive(FromArgs)]
struct Arguments {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,
    /// form the groups whose first member is this instance, if a majority of the members answers that it
    /// holds nothing of them; for the first start of a deployment
    #[argh(switch)]
    bootstrap: bool,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// print the version and the commit of this build and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Recover(recover::Arguments),
    Entry(Entry),
    Control(Control),
}

/// Run as an entry instance on the users' platform, with its settings file.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct Entry {}

/// Run as a control instance on the users' platform, with its settings file.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("trefoilvalved {}", build::CURRENT);
        return ExitCode::SUCCESS;
    }
    match &arguments.command {
        Some(Command::Recover(arguments)) => return recover(arguments),
        Some(Command::Entry(_)) => return serve(Role::Entry),
        Some(Command::Control(_)) => return serve(Role::Control),
        None => {}
    }
    let Some(path) = &arguments.settings else {
        eprintln!("trefoilvalved: the option --settings is required; see --help");
        return ExitCode::from(EXIT_START);
    };
    let settings = match Settings::open(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    let options = Options {
        bootstrap: arguments.bootstrap,
        ..Options::default()
    };
    match run(&settings, options) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_LEFT),
        Err(error) => {
            eprintln!("trefoilvalved: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn serve(role: Role) -> ExitCode {
    match role.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ platform::Error::Settings(_)) => {
            eprintln!("trefoilvalved: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
        Err(error) => {
            eprintln!("trefoilvalved: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn recover(arguments: &recover::Arguments) -> ExitCode {
    let settings = match Settings::open(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match recover::recover(&settings, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trefoilvalved: {error}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

/// Runs until a signal ends the daemon; returns the number of unfinished requests.
#[tokio::main]
async fn run(settings: &Settings, options: Options) -> Result<usize, Error> {
    logs::open(&settings.logs).map_err(Error::Logs)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Logs)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Logs)?;
    let daemon = Daemon::spawn(settings, options).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("event=stopping instance={}", settings.instance.name);
    Ok(daemon.shutdown().await.len())
}
