use {
    super::{Fault, Loaded, Pace, next_room},
    crate::{Connection, Intake, budget::Reservation, connection::Stage},
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        fmt,
        future::poll_fn,
        pin::Pin,
        sync::Arc,
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::time::{self, Sleep, sleep_until, timeout},
};

/// Longest time for which the rest of a body that is too large is read and dropped, so that the client sees the refusal
/// instead of a reset connection.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Most bytes that are read and dropped for it.
const DISCARD_BYTES: usize = 1 << 20;

/// A request body that has not been read.
pub struct Upload<B> {
    body: B,
    connection: Arc<Connection>,
    intake: Arc<Intake>,
}

/// What happened to a body.
enum Event<E> {
    Frame(Option<Result<Frame<Bytes>, E>>),
    Due,
    Cut,
}

impl<B> Upload<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    /// The body of a request on `connection`.
    pub fn new(body: B, connection: Arc<Connection>, intake: Arc<Intake>) -> Upload<B> {
        Upload {
            body,
            connection,
            intake,
        }
    }

    /// What the head tells about the size.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// The body itself, for a reader that keeps none of it.
    pub fn into_inner(self) -> B {
        self.body
    }

    /// Reads the body into one piece of at most `max` bytes.
    pub async fn read(mut self, max: usize) -> Result<Loaded, Fault> {
        self.connection.set(Stage::Body);
        let result = self.collect(max).await;
        if matches!(result, Err(Fault::TooLarge(_))) {
            self.discard().await;
        }
        self.connection.set(Stage::Working);
        let meter = self.intake.meter.clone();
        match result {
            Ok((bytes, reservation)) => Ok(Loaded::new(bytes, reservation, meter)),
            Err(fault) => {
                if let Some(reason) = fault.reason() {
                    meter.note(reason);
                }
                Err(fault)
            }
        }
    }

    async fn collect(&mut self, max: usize) -> Result<(Vec<u8>, Reservation), Fault> {
        let hint = self.body.size_hint();
        if hint.lower() > max as u64 {
            return Err(Fault::TooLarge(max));
        }
        let most = hint.upper().map_or(max, |upper| max.min(upper as usize));
        let limits = &self.intake.limits;
        let mut pace = Pace::new(limits.body_stall, limits.body_rate, Instant::now());
        let signal = self.connection.signal().clone();
        let reservation = self.intake.bodies.open(&signal);
        let mut bytes = Vec::new();
        let mut room = 0;
        let mut fragmented = false;
        let mut timer = None;
        let cut = signal.cut.notified();
        tokio::pin!(cut);
        loop {
            let body = &mut self.body;
            let event = poll_fn(|cx| {
                if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
                    return Poll::Ready(Event::Frame(frame));
                }
                if wait(&mut timer, pace.due()).poll(cx).is_ready() {
                    return Poll::Ready(Event::Due);
                }
                cut.as_mut().poll(cx).map(|()| Event::Cut)
            });
            let data = match event.await {
                Event::Frame(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Event::Frame(Some(Err(error))) => return Err(Fault::Broken(error.to_string())),
                Event::Frame(None) => break,
                Event::Due => match pace.fault(Instant::now()) {
                    Some(fault) => return Err(fault),
                    None => continue,
                },
                Event::Cut if reservation.is_cut() => {
                    return Err(lost(fragmented));
                }
                // It was meant for an earlier body on this connection.
                Event::Cut => {
                    cut.set(signal.cut.notified());
                    continue;
                }
            };
            let length = bytes.len() + data.len();
            if length > max {
                return Err(Fault::TooLarge(max));
            }
            let now = Instant::now();
            if pace.arrived(data.len(), now) && !reservation.progress(now) {
                return Err(lost(fragmented));
            }
            if !fragmented && pace.is_fragmented() {
                fragmented = true;
                if !reservation.fragment() {
                    return Err(Fault::Fragments);
                }
            }
            if length > room {
                let next = next_room(room, length, most);
                if !reservation.grow(next - room, now) {
                    return Err(Fault::Full);
                }
                bytes.reserve_exact(next - bytes.len());
                room = next;
            }
            bytes.extend_from_slice(&data);
        }
        match reservation.settle() {
            true => Ok((bytes, reservation)),
            false => Err(lost(fragmented)),
        }
    }

    /// Reads on for a while without keeping anything.
    async fn discard(&mut self) {
        let rest = async {
            let mut left = DISCARD_BYTES;
            while left > 0 {
                let next = poll_fn(|cx| Pin::new(&mut self.body).poll_frame(cx));
                let Some(Ok(frame)) = next.await else {
                    return;
                };
                left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len).max(1));
            }
        };
        // The bound of time only ends the courtesy.
        let _ = timeout(DISCARD_TIME, rest).await;
    }
}

/// The fault of a body whose reservation was cut.
fn lost(fragmented: bool) -> Fault {
    match fragmented {
        true => Fault::Fragments,
        false => Fault::Full,
    }
}

/// The timer of a body, made when the body first has to be waited for.
fn wait(timer: &mut Option<Pin<Box<Sleep>>>, due: Instant) -> Pin<&mut Sleep> {
    let due = time::Instant::from_std(due);
    let mut timer = timer
        .get_or_insert_with(|| Box::pin(sleep_until(due)))
        .as_mut();
    if timer.deadline() != due {
        timer.as_mut().reset(due);
    }
    timer
}
