use {
    super::state_text,
    crate::{
        api::JobEntry,
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Show one job.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "show",
    example = "trefoilvalve job show vestland-12",
    example = "trefoilvalve job show vestland-12 --json"
)]
pub(crate) struct Show {
    /// id of the job
    #[argh(positional)]
    id: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Show {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let id = name("a job", &self.id)?;
        let (raw, entry): (Value, JobEntry) = context
            .read(format!("/v1/jobs/{id}"), format!("show job {id}"))
            .await?;
        if self.json {
            return context.console.json(&raw);
        }
        let job = &entry.job;
        let shape = &job.spec.shape;
        let mut text = format!(
            "{}: {}\naccount {}, key {}, {} job{}\ngang of {} tasks with {} accelerators each\n\
             submitted {}, changed {}, started {} times",
            entry.id,
            state_text(job),
            job.spec.account,
            job.spec.key,
            format!("{:?}", job.spec.class).to_lowercase(),
            if job.borrowed {
                ", borrowed capacity"
            } else {
                ""
            },
            shape.tasks,
            shape.accelerators,
            burn::utc(job.submitted_ms),
            burn::utc(job.changed_ms),
            job.starts
        );
        if job.cancelled {
            text.push_str("\na cancellation was accepted");
        }
        if let Some(attempt) = &job.attempt {
            text.push_str(&format!("\nattempt {}:", attempt.number));
            for member in &attempt.members {
                text.push_str(&format!(
                    "\n  task {} on {} accelerators {:?}",
                    member.task,
                    burn::printable(&member.worker, 128),
                    member.accelerators
                ));
            }
        }
        context.console.line(text)
    }
}
