use {
    super::{claim, forward, identify, keys::Keys, limit, place, queue},
    crate::{
        body::Reply,
        call::Call,
        deps::{Deps, Ended, Finished},
        pool::Pool,
        refusal::{Refused, Told},
    },
    http::{Request, Response},
    hyper::body::Incoming,
    intake::{Connection, Intake, Upload},
    model::request::Class,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What all requests of a server share.
pub(crate) struct Context {
    pub(crate) deps: Deps,
    pub(crate) pool: Pool,
    /// Keys with a claim in progress.
    pub(crate) keys: Keys,
    /// Limits on callers, and the memory for bodies that are kept for a second send.
    pub(crate) intake: Arc<Intake>,
}

/// Answers one request.
pub(crate) async fn answer(
    context: Arc<Context>,
    request: Request<Incoming>,
    connection: Arc<Connection>,
) -> Response<Reply> {
    let request = request.map(|body| Upload::new(body, connection, context.intake.clone()));
    let arrived = context.deps.desk.clock().now();
    let call = match identify::identify(&context, request, arrived).await {
        Ok(call) => Arc::new(call),
        Err(refused) => {
            context
                .deps
                .observer
                .finished(refusal_record(None, arrived, arrived, &refused));
            return refused.response();
        }
    };
    let mut watch = Watch {
        context: context.clone(),
        call: call.clone(),
        open: true,
    };
    let result = if call.claim().is_some() {
        // A claimed request goes on when its caller leaves, so that a resend finds the answer.
        let (context, call) = (context.clone(), call.clone());
        tokio::spawn(async move { pass(&context, &call).await })
            .await
            .unwrap_or_else(|_| {
                Err(Refused::unknown(
                    http::StatusCode::INTERNAL_SERVER_ERROR,
                    "internal fault",
                ))
            })
    } else {
        pass(&context, &call).await
    };
    watch.open = false;
    match result {
        Ok(response) => response,
        Err(refused) => {
            let now = context.deps.desk.clock().now();
            let record = refusal_record(Some(&call), arrived, now, &refused);
            context.deps.observer.finished(record);
            refused.response()
        }
    }
}

/// Passes a request through the filters after `identify`.
async fn pass(context: &Arc<Context>, call: &Arc<Call>) -> Result<Response<Reply>, Refused> {
    let mut ticket = place::place(context, call)?;
    let claimed = claim::claim(context, call, &mut ticket).await?;
    let result = async {
        let first = limit::limit(&mut ticket)?;
        let send = match first {
            Some(send) => send,
            None => queue::queue(&mut ticket).await?,
        };
        forward::forward(context, call, ticket, send).await
    }
    .await;
    match result {
        Ok(response) => Ok(response),
        Err(refused) => {
            if let Some(claimed) = claimed {
                claimed.settle(&refused).await;
            }
            Err(refused)
        }
    }
}

fn refusal_record(
    call: Option<&Call>,
    arrived: Instant,
    now: Instant,
    refused: &Refused,
) -> Finished {
    let (bytes, cross_region_bytes) = call.map_or((0, 0), |call| call.traffic.totals());
    Finished {
        account: call.map(|call| call.account.clone()).unwrap_or_default(),
        class: call.map_or(Class::Short, |call| call.class),
        status: refused.status.as_u16(),
        wait: now.duration_since(arrived),
        service: Duration::ZERO,
        outcome: if refused.ran == Told::No {
            Ended::NotRun
        } else {
            Ended::Unknown
        },
        bytes,
        cross_region_bytes,
    }
}

/// Records a request whose caller left before the head of the answer.
struct Watch {
    context: Arc<Context>,
    call: Arc<Call>,
    open: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.open || self.call.claim().is_some() {
            return;
        }
        let now = self.context.deps.desk.clock().now();
        let (bytes, cross_region_bytes) = self.call.traffic.totals();
        self.context.deps.observer.finished(Finished {
            account: self.call.account.clone(),
            class: self.call.class,
            status: 0,
            wait: now.duration_since(self.call.arrived),
            service: Duration::ZERO,
            outcome: Ended::Abandoned,
            bytes,
            cross_region_bytes,
        });
    }
}
