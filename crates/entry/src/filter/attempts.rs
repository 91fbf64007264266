use {
    super::{
        chain::Context,
        forward::{Answered, Failed, attempt_once},
    },
    crate::{call::Call, desk::Guard},
    ::route::Action,
    futures::{
        future::{BoxFuture, join_all},
        stream::{FuturesUnordered, StreamExt},
    },
    http_body_util::BodyExt,
    std::{
        future::Future,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{self, Poll},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Time after its deadline for which the connection of a request that was given up is kept open for its answer. Covers
/// the way there and a late reaction to the deadline that is passed on.
const STOP_MARGIN: Duration = Duration::from_secs(1);

/// How far an attempt came and whether it is still wanted.
#[derive(Default)]
pub(super) struct Mark {
    /// Bytes may have left; the upstream may run the request.
    pub(super) sent: AtomicBool,
    /// The request has ended, so nothing may be sent again.
    pub(super) given_up: AtomicBool,
}

struct Attempt {
    id: u64,
    mark: Arc<Mark>,
    work: BoxFuture<'static, Result<Answered, Failed>>,
}

impl Future for Attempt {
    type Output = Result<Answered, Failed>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<Self::Output> {
        self.work.as_mut().poll(cx)
    }
}

/// The attempts of one request.
///
/// An attempt that is given up after it was sent keeps its connection until the upstream has answered or closed it, or
/// until [`STOP_MARGIN`] is over. Then the router keeps its slot as long as the upstream may run it: closing the
/// connection does not end the work there, and a slot that is used again at once makes the upstream run more requests
/// than it has slots.
pub(super) struct Attempts {
    context: Arc<Context>,
    call: Arc<Call>,
    running: FuturesUnordered<Attempt>,
}

impl Attempts {
    pub(super) fn new(context: &Arc<Context>, call: &Arc<Call>) -> Attempts {
        Attempts {
            context: context.clone(),
            call: call.clone(),
            running: FuturesUnordered::new(),
        }
    }

    /// Starts an attempt for a `Send` action.
    pub(super) fn start(&mut self, action: Action) {
        let Action::Send {
            attempt,
            address,
            site,
            cross_region,
            ..
        } = action
        else {
            return;
        };
        let (context, call) = (self.context.clone(), self.call.clone());
        let guard = Guard::new(context.deps.desk.clone(), attempt);
        let mark = Arc::new(Mark::default());
        let shared = mark.clone();
        let work = async move {
            attempt_once(&context, &call, guard, address, site, cross_region, &shared).await
        };
        self.running.push(Attempt {
            id: attempt,
            mark,
            work: Box::pin(work),
        });
    }

    /// The next attempt that ends; none if none runs.
    pub(super) async fn next(&mut self) -> Option<Result<Answered, Failed>> {
        self.running.next().await
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Gives up one attempt.
    pub(super) fn cancel(&mut self, id: u64) {
        let (ended, running): (Vec<Attempt>, Vec<Attempt>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|attempt| attempt.id == id);
        self.running = running.into_iter().collect();
        self.give_up(ended);
    }

    fn give_up(&self, attempts: Vec<Attempt>) {
        let sent: Vec<Attempt> = attempts
            .into_iter()
            .filter(|attempt| attempt.mark.sent.load(Ordering::Relaxed))
            .collect();
        if sent.is_empty() {
            return;
        }
        for attempt in &sent {
            attempt.mark.given_up.store(true, Ordering::Relaxed);
        }
        let now = self.context.deps.desk.clock().now();
        let left = self.call.deadline.saturating_duration_since(now) + STOP_MARGIN;
        tokio::spawn(timeout(left, join_all(sent.into_iter().map(discard))));
    }
}

/// Reads the rest of an answer that nobody waits for.
async fn discard(attempt: Attempt) {
    match attempt.await {
        Ok(mut answered) => {
            let _lease = answered.lease;
            let mut body = answered.response.into_body();
            while let Some(Ok(_)) = body.frame().await {}
            answered.guard.stopped();
        }
        Err(mut failed) => failed.guard.stopped(),
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        let running = std::mem::take(&mut self.running).into_iter().collect();
        self.give_up(running);
    }
}
