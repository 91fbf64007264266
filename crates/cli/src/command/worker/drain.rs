use {
    crate::{
        context::{Context, name},
        error::Error,
    },
    argh::FromArgs,
    serde_json::Value,
};

/// Give a worker no new gangs; those that run go on.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain", example = "trefoilvalve worker drain w-01")]
pub(crate) struct Drain {
    /// name of the worker
    #[argh(positional)]
    name: String,
}

impl Drain {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let name = name("a worker", &self.name)?;
        let path = format!("/v1/workers/{name}/drain");
        let _: Value = context.post(path, format!("drain worker {name}")).await?;
        context.console.line(format!("worker {name} drains"))
    }
}
