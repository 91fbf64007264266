use {
    super::check::open,
    crate::{
        api::Force,
        client::{Answer, Call, seconds},
        console::Progress,
        context::{Context, name, new_key},
        document::{Document, Fault, Severity, check},
        error::Error,
    },
    argh::FromArgs,
    model::note::{Outcome, Submission},
    std::time::{Duration, Instant},
};

/// Time between two looks at whether a note is in force. Instances ask for notes each second.
const POLL: Duration = Duration::from_millis(500);

/// Apply a release note.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "apply",
    example = "trefoilvalve note apply note-1.jsonc --expected 0",
    example = "trefoilvalve note apply note-2.jsonc --expected 1 --wait",
    example = "trefoilvalve note apply note-2.jsonc --expected 1 --key 5f0c...",
    note = "A submission with the same key is applied at most once; a resend gets the first outcome."
)]
pub(crate) struct Apply {
    /// the note
    #[argh(positional)]
    file: String,
    /// number of the configuration that the note was written against
    #[argh(option)]
    expected: u64,
    /// key of an earlier submission to resend; default: a new one
    #[argh(option)]
    key: Option<String>,
    /// wait until the note is in force everywhere
    #[argh(switch)]
    wait: bool,
    /// limit of --wait in seconds; default 60
    #[argh(option, default = "60.0")]
    within: f64,
}

impl Apply {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let within = seconds("--within", self.within)?;
        let (document, note) = open(&self.file)?;
        let faults = check(&document, &note, None);
        if faults.iter().any(|fault| fault.severity == Severity::Error) {
            return Err(Error::Faults(faults));
        }
        let key = match &self.key {
            Some(key) => name("a key", key)?.to_owned(),
            None => new_key(),
        };
        context
            .console
            .note(format!("key of this submission: {key}"));
        let submission = Submission {
            key: key.clone(),
            expected: self.expected,
            note,
        };
        let body = serde_json::to_vec(&submission).map_err(|error| Error::Output(error.into()))?;
        let what = format!("apply {} to configuration {}", self.file, self.expected);
        let call = Call::change("/v1/notes", body, what);
        let result = match context.send(&call).await {
            Ok(answer) => self.outcome(&document, &answer),
            Err(error) => Err(error),
        };
        let number = result.map_err(|error| self.with_resend(error, &key))?;
        context
            .console
            .line(format!("accepted as configuration {number}"))?;
        if self.wait {
            self.wait_in_force(context, number, within).await?;
        }
        Ok(())
    }

    /// Returns the number of the new configuration, or what became of the note instead.
    fn outcome(&self, document: &Document, answer: &Answer) -> Result<u64, Error> {
        let Ok(outcome) = serde_json::from_slice::<Outcome>(&answer.body) else {
            return Err(if answer.status.is_success() {
                answer.unreadable("it is not an outcome").into()
            } else {
                answer.refusal().into()
            });
        };
        match outcome {
            Outcome::Accepted { number } if answer.status.is_success() => Ok(number),
            Outcome::Accepted { .. } => Err(answer.unreadable("status and outcome differ").into()),
            Outcome::Conflict {
                number,
                winner,
                summary,
            } => Err(Error::Conflict(format!(
                "{} was not applied and nothing was changed: the configuration is number {number}, not \
                 {}; configuration {} was made by submission {} (`{}`). Read `trefoilvalve note history \
                 --after {}`, check the note against `trefoilvalve note status --config`, and apply it \
                 with --expected {number}",
                self.file,
                self.expected,
                self.expected.saturating_add(1),
                burn::printable(&winner, 128),
                burn::printable(&summary, 200),
                self.expected
            ))),
            Outcome::Refused { faults } if answer.doubt => Err(Error::Unknown(format!(
                "an earlier send of {} may have been carried out, and the resend was refused: {}. Read \
                 `trefoilvalve note history --after {}`",
                self.file,
                burn::printable(&faults.join("; "), 600),
                self.expected
            ))),
            Outcome::Refused { faults } => Err(Error::Faults(refused(document, faults))),
            Outcome::KeyReused => Err(Error::Conflict(format!(
                "{} was not applied and nothing was changed: its key was used before for another note. \
                 Leave out --key to submit it as a new one",
                self.file
            ))),
        }
    }

    /// Adds the command that settles an unknown outcome.
    fn with_resend(&self, error: Error, key: &str) -> Error {
        match error {
            Error::Unknown(text) => Error::Unknown(format!(
                "{text}. To learn the outcome, run this; the note is not applied twice: trefoilvalve note \
                 apply {} --expected {} --key {key}",
                self.file, self.expected
            )),
            other => other,
        }
    }

    async fn wait_in_force(
        &self,
        context: &mut Context<'_>,
        number: u64,
        within: Duration,
    ) -> Result<(), Error> {
        let end = Instant::now() + within;
        let mut progress = Progress::default();
        loop {
            let path = format!("/v1/notes/{number}/force");
            let what = format!("read whether configuration {number} is in force");
            let state = match context.read::<Force>(path, what).await {
                Ok((_, force)) if force.in_force => {
                    return context
                        .console
                        .line(format!("configuration {number} is in force everywhere"));
                }
                Ok((_, force)) => format!("missing: {}", force.missing.join(", ")),
                Err(Error::Unreachable(reason)) => reason,
                Err(error) => return Err(error),
            };
            let now = Instant::now();
            if now >= end {
                return Err(Error::Unknown(format!(
                    "configuration {number} is accepted but was not seen in force within {:.0} s ({}). It \
                     stays accepted; look again with `trefoilvalve note status`",
                    self.within,
                    burn::printable(&state, 600)
                )));
            }
            let text = format!("waiting for configuration {number} to be in force; {state}");
            progress.show(&mut context.console, text, now);
            tokio::time::sleep(POLL.min(end - now)).await;
        }
    }
}

/// Gives the faults that the leader found the lines of the note.
fn refused(document: &Document, texts: Vec<String>) -> Vec<Fault> {
    texts
        .into_iter()
        .map(|text| document.fault(document.outline.line_of_text(&text), text))
        .collect()
}
