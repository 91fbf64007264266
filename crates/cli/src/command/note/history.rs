use {
    crate::{api, context::Context, error::Error},
    argh::FromArgs,
    serde_json::Value,
};

/// Largest number of notes asked for at once.
const MAX_LIMIT: u32 = 1_000;

/// List accepted notes, or show one.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "history",
    example = "trefoilvalve note history --after 10 --limit 20",
    example = "trefoilvalve note history 12"
)]
pub(crate) struct History {
    /// number of one note to show with its content
    #[argh(positional)]
    number: Option<u64>,
    /// list only notes after this number; default 0
    #[argh(option, default = "0")]
    after: u64,
    /// list at most this many; default 50
    #[argh(option, default = "50")]
    limit: u32,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl History {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        if let Some(number) = self.number {
            let (raw, note): (Value, api::History) = context
                .read(format!("/v1/notes/{number}"), format!("read note {number}"))
                .await?;
            if self.json {
                return context.console.json(&raw);
            }
            context.console.line(format!(
                "configuration {} of {}, key {}: {}",
                note.number,
                burn::utc(note.at_ms),
                note.key,
                note.summary
            ))?;
            return context.console.json(&note.note);
        }
        if !(1..=MAX_LIMIT).contains(&self.limit) {
            return Err(Error::Usage(format!(
                "--limit is {}; give 1 to {MAX_LIMIT}",
                self.limit
            )));
        }
        let path = format!("/v1/notes?after={}&limit={}", self.after, self.limit);
        let (raw, list): (Value, Vec<api::History>) = context.read(path, "list notes").await?;
        if self.json {
            return context.console.json(&raw);
        }
        let rows = list
            .into_iter()
            .map(|note| {
                [
                    note.number.to_string(),
                    burn::utc(note.at_ms),
                    note.key,
                    note.summary,
                ]
            })
            .collect();
        context.console.table(
            ["number", "accepted", "key", "summary"],
            rows,
            "no notes after that number",
        )
    }
}
