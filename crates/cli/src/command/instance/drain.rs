use {
    crate::{
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Give an instance no new requests; those in progress end normally.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain", example = "trefoilvalve instance drain a3")]
pub(crate) struct Drain {
    /// name of the instance
    #[argh(positional)]
    name: String,
}

impl Drain {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let name = name("an instance", &self.name)?;
        let path = format!("/v1/instances/{name}/drain");
        let _: Value = context.post(path, format!("drain instance {name}")).await?;
        context.console.line(format!("instance {name} drains"))
    }
}
