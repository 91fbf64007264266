use {
    super::state_text,
    crate::{
        api::JobEntry,
        client::seconds,
        console::Progress,
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    model::job::State,
    std::time::{Duration, Instant},
};

/// Time between two looks at the job.
const POLL: Duration = Duration::from_secs(1);

/// Wait until a job has ended.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "wait",
    example = "trefoilvalve job wait vestland-12",
    example = "trefoilvalve job wait vestland-12 --within 600",
    note = "The exit status is 0 if the job is done, 1 if it failed or was cancelled, and 4 if its \
            outcome is unknown or it did not end in time."
)]
pub(crate) struct Wait {
    /// id of the job
    #[argh(positional)]
    id: String,
    /// limit in seconds; default 86400
    #[argh(option, default = "86400.0")]
    within: f64,
}

impl Wait {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let id = name("a job", &self.id)?;
        let end = Instant::now() + seconds("--within", self.within)?;
        let mut progress = Progress::default();
        let mut seen = false;
        loop {
            let path = format!("/v1/jobs/{id}");
            let read = context.read::<JobEntry>(path, format!("show job {id}"));
            let state = match read.await {
                Ok((_, entry)) => {
                    seen = true;
                    let state = state_text(&entry.job);
                    match entry.job.state {
                        State::Done => return context.console.line(format!("{id}: {state}")),
                        State::Failed | State::Cancelled => {
                            return Err(Error::Refused(format!("{id} ended: {state}")));
                        }
                        State::Unknown => {
                            return Err(Error::Unknown(format!(
                                "{id}: it is not known whether the job finished: {state}. Check its \
                                 results before submitting it again"
                            )));
                        }
                        _ => state,
                    }
                }
                // A wait outlasts a failure of instances, but not a wrong address.
                Err(Error::Unreachable(reason)) if seen => reason,
                Err(error) => return Err(error),
            };
            let now = Instant::now();
            if now >= end {
                return Err(Error::Unknown(format!(
                    "{id} did not end within {:.0} s; it is {state}. It goes on; wait again or cancel it",
                    self.within
                )));
            }
            progress.show(&mut context.console, format!("{id} is {state}"), now);
            tokio::time::sleep(POLL.min(end - now)).await;
        }
    }
}
