use {
    crate::{
        api::JobPlace,
        client::Call,
        command::job::submit::check,
        context::{Context, new_key},
        document::Document,
        error::Error,
    },
    argh::FromArgs,
    model::job::Spec,
    serde_json::Value,
};

/// Tell where a job described in a file of JSON with comments would run now.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "job",
    example = "trefoilvalve place job job.jsonc",
    example = "trefoilvalve place job job.jsonc --json"
)]
pub(crate) struct Job {
    /// the job
    #[argh(positional)]
    file: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Job {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let mut document = Document::open(&self.file)?;
        if !document.outline.has(&["key"]) {
            document = document.with_property("key", &new_key())?;
        }
        let spec: Spec = document.read()?;
        let faults = check(&document, &spec);
        if !faults.is_empty() {
            return Err(Error::Faults(faults));
        }
        let body = serde_json::to_vec(&spec).map_err(|error| Error::Output(error.into()))?;
        let what = format!(
            "tell where {} of client account {} would run",
            self.file, spec.account
        );
        let call = Call::ask("/v1/place/job", body, what);
        let (raw, place): (Value, JobPlace) = context.accept(&call).await?;
        if self.json {
            return context.console.json(&raw);
        }
        for line in lines(&place) {
            context.console.line(line)?;
        }
        Ok(())
    }
}

fn lines(place: &JobPlace) -> Vec<String> {
    let basis = format!(
        "group {}, configuration {}",
        place.group, place.configuration
    );
    let mut lines = match place.reason.as_deref() {
        None if place.borrowed => vec![format!(
            "{} now, beyond its guarantees ({basis})",
            place.outcome
        )],
        None => vec![format!("{} now ({basis})", place.outcome)],
        Some(reason) => vec![format!("{} ({basis}): {reason}", place.outcome)],
    };
    lines.extend(place.members.iter().map(|member| {
        let accelerators: Vec<_> = member.accelerators.iter().map(u16::to_string).collect();
        format!(
            "task {}: {}, accelerators {}",
            member.task,
            member.worker,
            accelerators.join(", ")
        )
    }));
    lines.extend(place.stopped.iter().map(|job| format!("stops job {job}")));
    lines
}
