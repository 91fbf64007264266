use {
    crate::{
        context::Context,
        document::{Document, Subject, diff},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Compare two notes or two configurations without a server.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "diff",
    example = "trefoilvalve note diff note-2.jsonc note-2-new.jsonc",
    example = "trefoilvalve note diff before.json after.json --json",
    note = "Prints + for added, - for withdrawn and ~ for changed entries. The exit status is 0 whether \
            or not there are differences."
)]
pub(crate) struct Diff {
    /// the old file
    #[argh(positional)]
    old: String,
    /// the new file
    #[argh(positional)]
    new: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Diff {
    pub(crate) fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let old = Subject::read(&Document::open(&self.old)?)?;
        let new = Subject::read(&Document::open(&self.new)?)?;
        if matches!(old, Subject::Note(_)) != matches!(new, Subject::Note(_)) {
            return Err(Error::Refused(format!(
                "{} and {} are a note and a configuration; compare two of a kind, or use `note check \
                 --against`",
                self.old, self.new
            )));
        }
        let found = diff(&value(&old)?, &value(&new)?);
        if self.json {
            return context.console.json(&found);
        }
        if found.is_empty() {
            return context.console.line("no differences");
        }
        for difference in found {
            context.console.line(difference.to_string())?;
        }
        Ok(())
    }
}

/// Returns the content with defaults settled, so that only differences in meaning are shown.
fn value(subject: &Subject) -> Result<Value, Error> {
    let value = match subject {
        Subject::Config(config) => serde_json::to_value(config),
        Subject::Note(note) => serde_json::to_value(note),
    };
    value.map_err(|error| Error::Output(error.into()))
}
