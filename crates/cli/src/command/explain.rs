use {
    crate::{
        context::Context,
        error::Error,
        story::{Line, Story},
    },
    argh::FromArgs,
    indexmap::IndexMap,
    std::io::Read,
};

/// Largest log that is read, in bytes.
const MAX_LOG_BYTES: u64 = 256 << 20;

/// Keys that are printed in columns of their own.
const COLUMNS: [&str; 5] = ["time", "level", "source", "thread", "event"];

/// Print the story of one job or request from the logs of several instances, in order of time.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "explain",
    example = "trefoilvalve explain 5c0e7a21d94b36f8 core-*.log edge-*.log",
    example = "cat *.log | trefoilvalve explain 5c0e7a21d94b36f8 --json",
    error_code(0, "at least one line is about the id"),
    error_code(1, "no line is about the id, or a file cannot be read")
)]
pub(crate) struct Explain {
    /// id of the job or request
    #[argh(positional)]
    id: String,
    /// logs; standard input without any
    #[argh(positional)]
    files: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Explain {
    pub(crate) fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let mut lines = Vec::new();
        for file in &self.files {
            let opened = std::fs::File::open(file)
                .map_err(|error| Error::Refused(format!("cannot open {file}: {error}")))?;
            read(file, opened, &mut lines)?;
        }
        if self.files.is_empty() {
            read("-", std::io::stdin(), &mut lines)?;
        }
        let story = Story::new(&self.id, lines);
        if story.lines.is_empty() {
            return Err(Error::Refused(format!(
                "no line is about {}; add the logs of the entry instances and of every control instance",
                self.id
            )));
        }
        if self.json {
            let rows: Vec<&IndexMap<String, String>> =
                story.lines.iter().map(|line| &line.pairs).collect();
            return context.console.json(&rows);
        }
        for line in &story.lines {
            context.console.line(render(line))?;
        }
        Ok(())
    }
}

fn read(name: &str, input: impl Read, lines: &mut Vec<Line>) -> Result<(), Error> {
    let mut bytes = Vec::new();
    input
        .take(MAX_LOG_BYTES)
        .read_to_end(&mut bytes)
        .map_err(|error| Error::Refused(format!("cannot read {name}: {error}")))?;
    let text = String::from_utf8_lossy(&bytes);
    lines.extend(text.lines().filter_map(|line| Line::parse(name, line)));
    Ok(())
}

fn render(line: &Line) -> String {
    let rest = line
        .pairs
        .iter()
        .filter(|(key, _)| !COLUMNS.contains(&key.as_str()));
    let rest: Vec<String> = rest.map(|(key, value)| format!("{key}={value}")).collect();
    format!(
        "{} {} {:<20} {}",
        line.get("time"),
        line.source,
        line.get("event"),
        rest.join(" ")
    )
}
