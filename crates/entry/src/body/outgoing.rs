use {
    super::{Fault, Source},
    crate::call::Call,
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep},
};

/// A request body on its way to an upstream; reads from the caller only as fast as the upstream takes it.
pub(crate) struct Outgoing {
    call: Arc<Call>,
    kind: Kind,
    read: u64,
    max: u64,
    stall: Duration,
    timer: Pin<Box<Sleep>>,
    cross_region: bool,
}

enum Kind {
    Kept(Option<Bytes>),
    Arriving(Incoming),
}

impl Outgoing {
    /// Returns none if the body was sent before and cannot be sent again.
    pub(crate) fn new(
        call: Arc<Call>,
        max: u64,
        stall: Duration,
        cross_region: bool,
    ) -> Option<Outgoing> {
        let kind = match &call.body {
            Source::Kept(bytes) => Kind::Kept((!bytes.is_empty()).then(|| bytes.clone())),
            source => Kind::Arriving(source.take()?),
        };
        let timer = Box::pin(sleep(stall));
        Some(Outgoing {
            call,
            kind,
            read: 0,
            max,
            stall,
            timer,
            cross_region,
        })
    }

    fn fail(&self, fault: Fault, text: &str) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.call.body.set_fault(fault);
        Poll::Ready(Some(Err(io::Error::other(text.to_owned()))))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        let frame = match &mut this.kind {
            Kind::Kept(bytes) => {
                if let Some(bytes) = bytes.take() {
                    this.call.traffic.add(bytes.len(), this.cross_region);
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                return Poll::Ready(None);
            }
            Kind::Arriving(body) => Pin::new(body).poll_frame(cx),
        };
        match frame {
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                this.read += length as u64;
                if this.read > this.max {
                    return this.fail(Fault::TooLarge, "the request body exceeds the bound");
                }
                this.call.traffic.add(length, this.cross_region);
                let due = Instant::now() + this.stall;
                this.timer.as_mut().reset(due);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => this.fail(Fault::Caller, "the caller's body broke off"),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending if this.timer.as_mut().poll(cx).is_ready() => {
                this.fail(Fault::Caller, "the caller went silent within the body")
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Kept(bytes) => bytes.is_none(),
            Kind::Arriving(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Kept(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Kind::Arriving(body) => body.size_hint(),
        }
    }
}
