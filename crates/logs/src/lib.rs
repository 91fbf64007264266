//! Logs to standard output: one line of key=value pairs for each event, never blocking, bounded in volume.

mod budget;
mod console;

pub use {budget::Budget, console::Console};

use {
    log::LevelFilter,
    log4rs::{
        config::{Appender, Config, Logger, Root},
        encode::pattern::PatternEncoder,
    },
    std::io,
};

/// Time, level and source precede the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} source={M} {m}{n}";

/// Libraries whose lines below a warning say nothing of use to operators.
const LIBRARIES: [&str; 6] = [
    "dropshot",
    "hyper",
    "hyper_util",
    "capnp_rpc",
    "slog",
    "tokio",
];

/// Starts logging to standard output. Must be called once in a process.
pub fn open(level: LevelFilter) -> io::Result<()> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let console = Console::spawn(encoder, Box::new(io::stdout()))?;
    let mut config =
        Config::builder().appender(Appender::builder().build("console", Box::new(console)));
    for name in LIBRARIES {
        let library = level.min(LevelFilter::Warn);
        config = config.logger(Logger::builder().build(name, library));
    }
    let config = config
        .build(Root::builder().appender("console").build(level))
        .map_err(io::Error::other)?;
    log4rs::init_config(config).map_err(io::Error::other)?;
    Ok(())
}
