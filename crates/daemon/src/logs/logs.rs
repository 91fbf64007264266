use {
    log::LevelFilter,
    log4rs::{
        append::{
            Append,
            console::{ConsoleAppender, Target},
            file::FileAppender,
        },
        config::{Appender, Config, Logger, Root},
        encode::pattern::PatternEncoder,
    },
    settings::{Level, Logs},
    std::io,
};

/// Time, level and thread precede the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} thread={T} {m}{n}";

/// Libraries whose lines below this level say nothing of use to operators.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::Warn;

/// Starts logging as the settings say. Must be called once in a process.
pub fn open(logs: &Logs) -> io::Result<()> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match &logs.file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder).build(path)?),
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    let level = match logs.level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    };
    let library = level.min(LIBRARY_LEVEL);
    let mut config = Config::builder().appender(Appender::builder().build("main", appender));
    for name in ["dropshot", "hyper", "hyper_util", "capnp_rpc", "slog"] {
        config = config.logger(Logger::builder().build(name, library));
    }
    let config = config
        .build(Root::builder().appender("main").build(level))
        .map_err(io::Error::other)?;
    log4rs::init_config(config).map_err(io::Error::other)?;
    Ok(())
}
