use {
    crate::{
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Take an evacuated data centre back, so that work starts there again.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "readmit",
    example = "trefoilvalve data-centre readmit bergen-a"
)]
pub(crate) struct Readmit {
    /// name of the data centre, without its region
    #[argh(positional)]
    name: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Readmit {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let name = name("a data centre", &self.name)?;
        let path = format!("/v1/data-centres/{name}/readmit");
        let answer: Value = context
            .post(path, format!("take data centre {name} back"))
            .await?;
        if self.json {
            return context.console.json(&answer);
        }
        context
            .console
            .line(format!("data centre {name} takes work again"))
    }
}
