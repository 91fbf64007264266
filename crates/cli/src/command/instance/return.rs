use {
    crate::{
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Return a drained instance to service.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "return",
    example = "trefoilvalve instance return a3"
)]
pub(crate) struct Return {
    /// name of the instance
    #[argh(positional)]
    name: String,
}

impl Return {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let name = name("an instance", &self.name)?;
        let path = format!("/v1/instances/{name}/return");
        let _: Value = context
            .post(path, format!("return instance {name}"))
            .await?;
        context
            .console
            .line(format!("instance {name} is back in service"))
    }
}
