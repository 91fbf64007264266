use {
    crate::{
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Start nothing more in a data centre; what runs there ends or is moved.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "evacuate",
    example = "trefoilvalve data-centre evacuate bergen-a"
)]
pub(crate) struct Evacuate {
    /// name of the data centre, without its region
    #[argh(positional)]
    name: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Evacuate {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let name = name("a data centre", &self.name)?;
        let path = format!("/v1/data-centres/{name}/evacuate");
        let answer: Value = context
            .post(path, format!("evacuate data centre {name}"))
            .await?;
        if self.json {
            return context.console.json(&answer);
        }
        context.console.line(format!(
            "data centre {name} is evacuated; see `data-centre list` for what still runs there"
        ))
    }
}
