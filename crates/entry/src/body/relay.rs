use {
    crate::{
        call::Call,
        deps::{Answer, Deps, Ended, Finished},
        desk::{Guard, Ticket},
        pool::Lease,
    },
    bytes::{Bytes, BytesMut},
    futures::future::BoxFuture,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    route::claim::MAX_KEPT_BODY_BYTES,
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::time::{Sleep, sleep, timeout},
};

/// Time to commit the answer of a claimed request before its last bytes are passed on regardless.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of an answer to a caller.
pub(crate) enum Reply {
    /// Made here.
    Whole(Option<Bytes>),
    /// Passed on from an upstream.
    Relay(Box<Relay>),
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Reply::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Reply::Relay(relay) => relay.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(bytes) => bytes.is_none(),
            Reply::Relay(relay) => relay.parts.is_none() && relay.closing.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Reply::Relay(relay) => relay.size,
        }
    }
}

/// An upstream's answer on its way to the caller, read only as fast as the caller takes it.
///
/// An answer that breaks off is an error of this body, upon which hyper ends the caller's connection
/// without the final chunk or with fewer bytes than announced.
pub(crate) struct Relay {
    parts: Option<Parts>,
    /// The last frame, held until the answer of a claimed request is committed.
    closing: Option<(Option<Frame<Bytes>>, BoxFuture<'static, ()>)>,
    timer: Pin<Box<Sleep>>,
    size: SizeHint,
}

/// What an answer in progress holds.
pub(crate) struct Parts {
    pub(crate) incoming: Incoming,
    pub(crate) lease: Lease,
    pub(crate) guard: Guard,
    /// Keeps the request known to the router until the end of the answer.
    pub(crate) _ticket: Ticket,
    pub(crate) call: Arc<Call>,
    pub(crate) deps: Deps,
    pub(crate) sent: Instant,
    pub(crate) status: u16,
    /// End-to-end headers, kept for the answer of a claim.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) cross_region: bool,
    /// Body bytes so far, while they may be kept with a claim.
    pub(crate) kept: Option<BytesMut>,
}

impl Relay {
    pub(crate) fn new(parts: Parts) -> Relay {
        let now = parts.deps.desk.clock().now();
        let left = parts.call.deadline.saturating_duration_since(now);
        let size = parts.incoming.size_hint();
        Relay {
            parts: Some(parts),
            closing: None,
            timer: Box::pin(sleep(left)),
            size,
        }
    }

    /// Completes an answer without body before its head is passed on.
    pub(crate) async fn finish_if_empty(&mut self) {
        if self
            .parts
            .as_ref()
            .is_some_and(|parts| parts.incoming.is_end_stream())
            && let Some(parts) = self.parts.take()
        {
            parts.finish().await;
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some((frame, commit)) = &mut self.closing {
            ready!(commit.as_mut().poll(cx));
            let frame = frame.take();
            self.closing = None;
            return Poll::Ready(frame.map(Ok));
        }
        let Some(parts) = &mut self.parts else {
            return Poll::Ready(None);
        };
        let frame = match Pin::new(&mut parts.incoming).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.timer.as_mut().poll(cx));
                return self.broken("the answer missed its deadline");
            }
        };
        match frame {
            Some(Ok(frame)) => {
                parts.count(&frame);
                // hyper does not ask for more after trailers.
                if frame.is_trailers() || parts.incoming.is_end_stream() {
                    self.close(Some(frame));
                    return self.poll(cx);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.broken("the upstream's answer broke off"),
            None => {
                self.close(None);
                self.poll(cx)
            }
        }
    }

    fn close(&mut self, frame: Option<Frame<Bytes>>) {
        if let Some(parts) = self.parts.take() {
            self.closing = Some((frame, Box::pin(parts.finish())));
        }
    }

    fn broken(&mut self, text: &str) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(mut parts) = self.parts.take() {
            parts.guard.failed();
            parts.lose();
            parts.record(Ended::Broken);
        }
        Poll::Ready(Some(Err(io::Error::other(text.to_owned()))))
    }
}

impl Parts {
    fn count(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.call.traffic.add(data.len(), self.cross_region);
        if let Some(kept) = &mut self.kept {
            if kept.len() + data.len() > MAX_KEPT_BODY_BYTES {
                self.kept = None;
            } else {
                kept.extend_from_slice(data);
            }
        }
    }

    /// The whole answer arrived: commits it if claimed, frees the slot and keeps the connection.
    async fn finish(mut self) {
        self.guard.answered();
        self.record(Ended::Answered);
        let Parts {
            lease,
            call,
            deps,
            status,
            headers,
            kept,
            ..
        } = self;
        lease.put_back();
        if let Some(key) = call.claim() {
            let key = key.to_owned();
            let body = kept.map(|bytes| bytes.to_vec());
            let answer = Answer {
                status,
                headers,
                body,
            };
            let commit = tokio::spawn(async move {
                if !deps.claims.answer(&call.account, &key, answer).await {
                    log::warn!(account = call.account.as_str(); "event=answer_not_committed");
                }
            });
            let _ = timeout(COMMIT_TIMEOUT, commit).await;
        }
    }

    /// The answer will never be whole.
    fn lose(&self) {
        if let Some(key) = self.call.claim() {
            let (call, key) = (self.call.clone(), key.to_owned());
            let claims = self.deps.claims.clone();
            tokio::spawn(async move { claims.lost(&call.account, &key).await });
        }
    }

    fn record(&self, outcome: Ended) {
        let now = self.deps.desk.clock().now();
        let (bytes, cross_region_bytes) = self.call.traffic.totals();
        self.deps.observer.finished(Finished {
            account: self.call.account.clone(),
            class: self.call.class,
            status: self.status,
            wait: self.sent.duration_since(self.call.arrived),
            service: now.duration_since(self.sent),
            outcome,
            bytes,
            cross_region_bytes,
        });
    }

    /// Reads the rest of a claimed request's answer after its caller left, so that a resend gets it.
    async fn read_on(mut self) {
        let now = self.deps.desk.clock().now();
        let left = self.call.deadline.saturating_duration_since(now);
        let whole = timeout(left, async {
            loop {
                let frame =
                    std::future::poll_fn(|cx| Pin::new(&mut self.incoming).poll_frame(cx)).await;
                match frame {
                    Some(Ok(frame)) => self.count(&frame),
                    Some(Err(_)) => return false,
                    None => return true,
                }
            }
        })
        .await;
        if whole == Ok(true) {
            self.finish().await;
        } else {
            self.guard.failed();
            self.lose();
            self.record(Ended::Abandoned);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let Some(parts) = self.parts.take() else {
            if let Some((_, commit)) = self.closing.take() {
                spawn(commit);
            }
            return;
        };
        if parts.call.claim().is_some() {
            spawn(Box::pin(parts.read_on()));
        } else {
            parts.record(Ended::Abandoned);
        }
    }
}

/// Runs `work` to its end unless the process is ending.
fn spawn(work: BoxFuture<'static, ()>) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(work);
    }
}
