use {
    crate::{
        context::Context,
        document::{Document, Fault, Severity, Subject, check},
        error::Error,
    },
    argh::FromArgs,
    model::{config::Config, note::Note},
    serde_json::json,
};

/// Check a release note without a server.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "trefoilvalve note check note-2.jsonc",
    example = "trefoilvalve note check note-2.jsonc --against config.json",
    example = "trefoilvalve note check note-3.jsonc --against note-1.jsonc --against note-2.jsonc",
    note = "Without --against, what the note expects to exist is assumed to exist. Warnings do not \
            change the exit status."
)]
pub(crate) struct Check {
    /// the note
    #[argh(positional)]
    file: String,
    /// a configuration (`note status --config`) or a note before this one; may be repeated, in order
    #[argh(option)]
    against: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    pub(crate) fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let base = match &self.against[..] {
            [] => None,
            files => Some(fold(files)?),
        };
        let (document, note) = match open(&self.file) {
            Ok(opened) => opened,
            Err(faults) => return self.finish(context, faults, String::new()),
        };
        let faults = check(&document, &note, base.as_ref());
        let mut summary = format!(
            "{}: adds {}, changes {}, withdraws {} accounts",
            self.file,
            note.add.len(),
            note.change.len(),
            note.withdraw.accounts.len()
        );
        if let Some(base) = &base {
            summary.push_str(&format!(
                "; makes configuration {} out of {}",
                base.number + 1,
                base.number
            ));
        }
        self.finish(context, faults, summary)
    }

    fn finish(
        &self,
        context: &mut Context<'_>,
        faults: Vec<Fault>,
        summary: String,
    ) -> Result<(), Error> {
        let failed = faults.iter().any(|fault| fault.severity == Severity::Error);
        if self.json {
            context.console.json(&json!({ "faults": faults }))?;
        }
        if failed {
            return Err(Error::Faults(faults));
        }
        if !self.json {
            for fault in &faults {
                context.console.note(fault.to_string());
            }
            context.console.line(summary)?;
        }
        Ok(())
    }
}

/// Reads a note.
pub(super) fn open(file: &str) -> Result<(Document, Note), Vec<Fault>> {
    let document = Document::open(file)?;
    let note = document.read()?;
    Ok((document, note))
}

/// Applies notes to a configuration, or to the empty one if the first file is a note too.
fn fold(files: &[String]) -> Result<Config, Error> {
    let mut config = Config::default();
    for (index, file) in files.iter().enumerate() {
        let document = Document::open(file)?;
        match Subject::read(&document)? {
            Subject::Config(read) if index == 0 => config = read,
            Subject::Config(_) => {
                return Err(Error::Usage(format!(
                    "{file} is a configuration; give it as the first --against"
                )));
            }
            Subject::Note(note) => {
                let faults: Vec<Fault> = check(&document, &note, Some(&config))
                    .into_iter()
                    .filter(|fault| fault.severity == Severity::Error)
                    .collect();
                match config.apply(&note) {
                    Ok(next) if faults.is_empty() => config = next,
                    _ => return Err(Error::Faults(faults)),
                }
            }
        }
    }
    Ok(config)
}
