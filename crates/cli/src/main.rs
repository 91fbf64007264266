//! The binary `trefoilvalve`.

fn main() -> std::process::ExitCode {
    cli::demo::run()
}
