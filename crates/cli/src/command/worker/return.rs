use {
    crate::{
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Return a drained or quarantined worker to service.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "return",
    example = "trefoilvalve worker return w-01"
)]
pub(crate) struct Return {
    /// name of the worker
    #[argh(positional)]
    name: String,
}

impl Return {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let name = name("a worker", &self.name)?;
        let path = format!("/v1/workers/{name}/return");
        let _: Value = context.post(path, format!("return worker {name}")).await?;
        context
            .console
            .line(format!("worker {name} is back in service"))
    }
}
