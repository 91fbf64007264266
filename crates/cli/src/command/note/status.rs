use {
    crate::{
        api::{self, Force},
        context::Context,
        error::Error,
    },
    argh::FromArgs,
    model::config::Config,
    serde_json::{Value, json},
};

/// Show the number of the configuration and whether it is in force everywhere.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "status",
    example = "trefoilvalve note status",
    example = "trefoilvalve note status --config > config.json",
    note = "The answer is that of the first instance that answers."
)]
pub(crate) struct Status {
    /// print the configuration as JSON, for `note check --against` and `note diff`
    #[argh(switch)]
    config: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        if self.config {
            let (raw, _): (Value, Config) =
                context.read("/v1/config", "read the configuration").await?;
            return context.console.json(&raw);
        }
        let (raw, status): (Value, api::Status) =
            context.read("/v1/status", "read the status").await?;
        let force = match status.number {
            // There is no note before the first.
            0 => None,
            number => {
                let path = format!("/v1/notes/{number}/force");
                let what = format!("read whether configuration {number} is in force");
                Some(context.read::<Force>(path, what).await?)
            }
        };
        if self.json {
            let force = force.map(|(raw, _)| raw);
            return context
                .console
                .json(&json!({ "status": raw, "force": force }));
        }
        let force = match force {
            None => "no note was accepted yet".to_owned(),
            Some((_, force)) if force.in_force => "in force everywhere".to_owned(),
            Some((_, force)) => format!("not yet in force at {}", force.missing.join(", ")),
        };
        context.console.line(format!(
            "configuration {}: {force}\ninstance {}: {}, configuration lease {}",
            status.number,
            status.instance,
            if status.ready { "ready" } else { "not ready" },
            match status.lease_ms {
                0 => "ended".to_owned(),
                left => format!("for {}", burn::span(left)),
            }
        ))?;
        for group in status.groups {
            let leader = match group.leader {
                None => "no leader known".to_owned(),
                Some(name) => format!("leader {name}"),
            };
            let stopped = match group.stopped {
                None => String::new(),
                Some(reason) => format!("; the replica stopped: {reason}"),
            };
            context.console.line(format!(
                "group {}: {leader}, term {}, commit {}{stopped}",
                group.name, group.term, group.commit
            ))?;
        }
        Ok(())
    }
}
