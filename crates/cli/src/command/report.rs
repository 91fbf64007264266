use {
    crate::{context::Context, error::Error},
    argh::FromArgs,
    serde_json::Value,
};

/// Show the service levels of every account: budgets, burn rates and reasons.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "report",
    example = "trefoilvalve report",
    example = "trefoilvalve report --json",
    example = "trefoilvalve report --html levels.html"
)]
pub(crate) struct Report {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// write a page with plots to this file
    #[argh(option)]
    html: Option<String>,
}

impl Report {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        if self.json && self.html.is_some() {
            return Err(Error::Usage(
                "--json and --html exclude each other; run the command twice".to_owned(),
            ));
        }
        let (raw, report): (Value, burn::Report) =
            context.read("/v1/report", "read the report").await?;
        if self.json {
            return context.console.json(&raw);
        }
        let Some(file) = &self.html else {
            return Ok(write!(context.console.out, "{}", report.text())?);
        };
        std::fs::write(file, report.page()).map_err(|error| {
            Error::Refused(format!(
                "the page was not written to {file}: {error}; choose another file"
            ))
        })?;
        context.console.line(format!("wrote {file}"))
    }
}
