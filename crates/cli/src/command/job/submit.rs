use {
    super::state_text,
    crate::{
        api::JobEntry,
        client::Call,
        context::{Context, name, new_key},
        document::{Document, Fault},
        error::Error,
    },
    argh::FromArgs,
    model::{job::Spec, shape::Shape},
};

/// Submit a job described in a file of JSON with comments.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "submit",
    example = "trefoilvalve job submit job.jsonc",
    example = "trefoilvalve job submit job.jsonc --key nightly-2026-12-04",
    note = "A file without `key` gets a new one. A resend with the same key returns the first job."
)]
pub(crate) struct Submit {
    /// the job
    #[argh(positional)]
    file: String,
    /// key, if the file has none
    #[argh(option)]
    key: Option<String>,
}

impl Submit {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let mut document = Document::open(&self.file)?;
        let keyed = document.outline.has(&["key"]);
        match (&self.key, keyed) {
            (Some(_), true) => {
                return Err(Error::Usage(format!(
                    "{} names a key already; leave out --key",
                    self.file
                )));
            }
            (Some(key), false) => document = document.with_property("key", name("a key", key)?)?,
            (None, false) => document = document.with_property("key", &new_key())?,
            (None, true) => {}
        }
        let spec: Spec = document.read()?;
        let faults = check(&document, &spec);
        if !faults.is_empty() {
            return Err(Error::Faults(faults));
        }
        context
            .console
            .note(format!("key of this job: {}", spec.key));
        let body = serde_json::to_vec(&spec).map_err(|error| Error::Output(error.into()))?;
        let what = format!("submit {} for client account {}", self.file, spec.account);
        let call = Call::change("/v1/jobs", body, what);
        let result = match context.send(&call).await {
            Ok(answer) => answer.accept::<JobEntry>().map_err(Error::from),
            Err(error) => Err(error),
        };
        let entry = result.map_err(|error| self.with_resend(error, keyed, &spec.key))?;
        context
            .console
            .line(format!("{} {}", entry.id, state_text(&entry.job)))
    }

    /// Adds the command that settles an unknown outcome.
    fn with_resend(&self, error: Error, keyed: bool, key: &str) -> Error {
        let Error::Unknown(text) = error else {
            return error;
        };
        let option = if keyed {
            String::new()
        } else {
            format!(" --key {key}")
        };
        Error::Unknown(format!(
            "{text}. To learn the outcome, run this; the job is not submitted twice: trefoilvalve job \
             submit {}{option}",
            self.file
        ))
    }
}

/// Returns what every instance would refuse.
pub(crate) fn check(document: &Document, spec: &Spec) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut fault = |path: &[&str], text: String| {
        faults.push(document.fault(document.outline.line(path), text));
    };
    if !(1..=Shape::MAX_TASKS).contains(&spec.shape.tasks) {
        fault(
            &["shape", "tasks"],
            format!(
                "`tasks` is {}; a gang has 1 to {}",
                spec.shape.tasks,
                Shape::MAX_TASKS
            ),
        );
    }
    if spec.shape.accelerators == 0 {
        fault(
            &["shape", "accelerators"],
            "`accelerators` is 0; a task needs at least 1".to_owned(),
        );
    }
    if spec.key.is_empty() {
        fault(
            &["key"],
            "`key` is empty; leave it out or name one".to_owned(),
        );
    }
    if spec.payload.len() > Spec::MAX_PAYLOAD_BYTES {
        fault(
            &["payload"],
            format!(
                "`payload` has {} bytes; at most {} are accepted, so store the data elsewhere and name it",
                spec.payload.len(),
                Spec::MAX_PAYLOAD_BYTES
            ),
        );
    }
    faults
}
