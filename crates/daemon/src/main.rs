//! `trefoilvalved`: one instance of the system.

use {
    argh::FromArgs,
    daemon::{Daemon, Error, Options, logs},
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

/// Runs one instance of trefoilvalve.
///
/// Exit codes: 0 after a graceful shutdown, 1 cannot start, 2 settings cannot be used, 3 requests were left
/// unfinished at the end of the drain.
#[derive(FromArgs)]
struct Arguments {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// form the groups whose first member is this instance, if its disk holds nothing of them; for the
    /// first start of a deployment only
    #[argh(switch)]
    bootstrap: bool,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match Settings::open(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: the settings are valid", arguments.settings.display());
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
