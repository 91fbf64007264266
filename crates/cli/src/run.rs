use {
    crate::{
        client::Settings,
        command::{Arguments, Command},
        console::Console,
        context::Context,
        error::Error,
        exit::Exit,
    },
    argh::FromArgs,
    std::io::Write,
};

/// Options of all commands. They may stand anywhere on the command line.
const COMMON: [&str; 3] = ["--instances", "--try-timeout", "--timeout"];

/// Runs one command. `arguments` excludes the name of the program; `instances` is used when no
/// `--instances` is given.
pub fn run(
    arguments: &[String],
    instances: Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let ordered = common_first(arguments);
    let arguments = match Arguments::from_args(&["trefoilvalve"], &ordered) {
        Ok(arguments) => arguments,
        Err(early) => {
            return match early.status {
                Ok(()) => {
                    let _ = writeln!(out, "{}", early.output.trim_end());
                    Exit::Done
                }
                Err(()) => {
                    let text = burn::printable_lines(&early.output, 4_000);
                    let _ = writeln!(err, "{}", text.trim_end());
                    Exit::Usage
                }
            };
        }
    };
    let settings = Settings::parse(
        arguments
            .instances
            .as_deref()
            .or(instances.as_deref())
            .unwrap_or_default(),
        arguments.try_timeout,
        arguments.timeout,
    );
    let mut context = Context::new(Console { out, err }, settings);
    let result = execute(&arguments.command, &mut context);
    let result = result.and_then(|()| Ok(context.console.out.flush()?));
    match result {
        Ok(()) => Exit::Done,
        Err(error) => {
            let exit = error.exit();
            if exit != Exit::Done {
                let _ = writeln!(context.console.err, "{error}");
            }
            exit
        }
    }
}

fn execute(command: &Command, context: &mut Context<'_>) -> Result<(), Error> {
    // Both start their own threads, so they run outside the runtime of the other commands.
    match command {
        Command::Demo(demo) => return demo.run(),
        Command::Trial(trial) => return trial.run(context),
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Refused(format!("the runtime cannot start: {error}")))?;
    runtime.block_on(command.run(context))
}

/// Moves the options of all commands to the front, where the parser expects them.
fn common_first(arguments: &[String]) -> Vec<&str> {
    let (mut common, mut others) = (Vec::new(), Vec::new());
    let mut rest = arguments.iter().map(String::as_str);
    while let Some(argument) = rest.next() {
        if argument == "--" {
            others.push(argument);
            others.extend(rest.by_ref());
        } else if COMMON.contains(&argument) {
            common.push(argument);
            common.extend(rest.next());
        } else {
            others.push(argument);
        }
    }
    common.extend(others);
    common
}
