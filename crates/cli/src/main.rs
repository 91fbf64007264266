//! The binary `trefoilvalve`.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let instances = std::env::var("TREFOILVALVE_INSTANCES").ok();
    cli::run(&arguments, instances, &mut stdout(), &mut stderr()).into()
}
