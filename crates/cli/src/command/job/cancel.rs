use {
    super::state_text,
    crate::{
        api::{Cancellation, Cancelled},
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    model::job::State,
};

/// Cancel a job.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "cancel",
    example = "trefoilvalve job cancel vestland-12",
    note = "Says whether the job ran. The exit status is 1 if the job had ended by itself before."
)]
pub(crate) struct Cancel {
    /// id of the job
    #[argh(positional)]
    id: String,
}

impl Cancel {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let id = name("a job", &self.id)?;
        let cancelled: Cancelled = context
            .post(format!("/v1/jobs/{id}/cancel"), format!("cancel job {id}"))
            .await?;
        let state = state_text(&cancelled.job);
        match cancelled.outcome {
            Cancellation::NotRun => context
                .console
                .line(format!("{id} is cancelled and did not run; now {state}")),
            Cancellation::WhileRunning => context
                .console
                .line(format!("{id} is cancelled while running; now {state}")),
            // The answer to an earlier send may have been lost.
            Cancellation::AlreadyEnded if cancelled.job.state == State::Cancelled => context
                .console
                .line(format!("{id} had been cancelled before: {state}")),
            Cancellation::AlreadyEnded => Err(Error::Refused(format!(
                "{id} was not cancelled because it had ended: {state}"
            ))),
        }
    }
}
