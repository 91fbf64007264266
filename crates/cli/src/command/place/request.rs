use {
    crate::{api::RequestPlace, client::Call, context::Context, error::Error},
    argh::FromArgs,
    serde_json::{Value, json},
};

/// Tell which upstream a request would be sent to now by the instance that answers.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "request",
    example = "trefoilvalve place request --account reed --service fit",
    example = "trefoilvalve place request --account reed --service fit --class batch --deadline 30 --json"
)]
pub(crate) struct Request {
    /// client account
    #[argh(option)]
    account: String,
    /// service
    #[argh(option)]
    service: String,
    /// short or batch; default short
    #[argh(option, default = "String::from(\"short\")")]
    class: String,
    /// time until the answer must have arrived, in seconds; default 60
    #[argh(option, default = "60.0")]
    deadline: f64,
    /// whether it may run more than once
    #[argh(switch)]
    idempotent: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Request {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        if !matches!(self.class.as_str(), "short" | "batch") {
            return Err(Error::Usage(format!(
                "`{}` is no class; use short or batch",
                self.class
            )));
        }
        if !(0.001..=86_400.0).contains(&self.deadline) {
            return Err(Error::Usage(
                "--deadline takes 0.001 to 86400 seconds".to_owned(),
            ));
        }
        let body = json!({
            "account": self.account,
            "service": self.service,
            "class": self.class,
            "deadline_ms": (self.deadline * 1000.0) as u64,
            "idempotent": self.idempotent,
        });
        let what = format!(
            "tell where a request of client account {} for {} would go",
            self.account, self.service
        );
        let call = Call::ask("/v1/place/request", body.to_string().into_bytes(), what);
        let (raw, place): (Value, RequestPlace) = context.accept(&call).await?;
        if self.json {
            return context.console.json(&raw);
        }
        context.console.line(line(&place))
    }
}

fn line(place: &RequestPlace) -> String {
    let wait = place.wait_ms.map(burn::span).unwrap_or_default();
    let reason = place.reason.as_deref().unwrap_or_default();
    let instance = &place.instance;
    match (&place.upstream, place.outcome.as_str()) {
        (Some(upstream), _) => {
            let site = place.site.as_ref().map(ToString::to_string);
            let region = if place.cross_region {
                ", another region"
            } else {
                ""
            };
            format!(
                "{instance} sends it to {upstream} ({}{region})",
                site.unwrap_or_default()
            )
        }
        (None, "queued") => format!("{instance} queues it for about {wait}: {reason}"),
        (None, _) if place.wait_ms.is_some() => {
            format!("{instance} refuses it: {reason}; again after {wait}")
        }
        (None, _) => format!("{instance} refuses it: {reason}"),
    }
}
