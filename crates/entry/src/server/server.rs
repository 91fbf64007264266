use {
    super::{
        Error,
        framing::{Framing, Verdicts},
    },
    crate::{
        deps::Deps,
        filter::{Ambiguous, Context, Keys, answer},
        pool::Pool,
    },
    http::{
        HeaderValue, Request,
        header::{CONNECTION, TRANSFER_ENCODING},
    },
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    indexmap::IndexMap,
    intake::{
        Connection, Connections, Intake, Meter, Stream, connection::Stage, meter::Reason, stream,
    },
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_millis(500);

/// Time between two looks at the open connections during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Tells a caller whose connection is refused that nothing ran.
const REFUSED_FIELDS: &str = "x-ran: no\r\n";

/// Pause after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request that was still in progress when a drain ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leftover {
    /// The caller's address.
    pub caller: SocketAddr,
    /// Method and path.
    pub target: String,
    /// Time since it arrived.
    pub age: Duration,
}

/// Requests in progress by id.
type Live = Mutex<IndexMap<u64, (SocketAddr, String, std::time::Instant)>>;

/// A running request listener.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
    tasks: Vec<JoinHandle<()>>,
}

/// How far the end of a listener has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Open,
    /// No new connections; the requests in progress finish.
    Closing,
    /// Connections are cut.
    Cut,
}

struct Shared {
    context: Arc<Context>,
    live: Live,
    next: AtomicU64,
    connections: Connections,
}

impl Server {
    /// Listens on `address`. Needs a tokio runtime with time and I/O.
    pub async fn bind(address: SocketAddr, deps: Deps) -> Result<Server, Error> {
        let limits = deps.settings.limits();
        let listener = stream::listen(address, limits.initial_unread_bytes)
            .map_err(|error| Error::Bind(address, error))?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::Bind(address, error))?;
        let meter = Arc::new(Meter::new().map_err(Error::Metrics)?);
        let connections = Connections::new(limits.connections, meter.clone());
        let shared = Arc::new(Shared {
            context: Arc::new(Context {
                pool: Pool::new(deps.settings.clone()),
                keys: Keys::default(),
                intake: Arc::new(Intake::new(limits, meter)),
                deps,
            }),
            live: Mutex::new(IndexMap::new()),
            next: AtomicU64::new(1),
            connections,
        });
        let (phase, _) = watch::channel(Phase::Open);
        let tasks = vec![
            tokio::spawn(accept(listener, shared.clone(), phase.subscribe())),
            tokio::spawn(tick(shared.context.clone())),
            tokio::spawn(sweep(shared.context.clone())),
        ];
        Ok(Server {
            address,
            shared,
            phase,
            tasks,
        })
    }

    /// The address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of limited callers.
    pub fn meter(&self) -> &Arc<Meter> {
        &self.shared.context.intake.meter
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.live().len()
    }

    /// Stops accepting after the settle time, lets every request finish within `bound`, and returns those
    /// that did not.
    pub async fn drain(mut self, bound: Duration) -> Vec<Leftover> {
        let desk = self.shared.context.deps.desk.clone();
        sleep(self.shared.context.deps.settings.drain_settle).await;
        desk.observe(route::Event::Drain);
        let end = Instant::now() + bound;
        self.phase.send_replace(Phase::Closing);
        // Requests that go on without their caller are counted by the router.
        let is_busy =
            || !self.shared.connections.is_empty() || desk.with(|router, _| router.pending()) > 0;
        while Instant::now() < end && is_busy() {
            sleep(DRAIN_POLL).await;
        }
        if !is_busy() {
            desk.observe(route::Event::Closed);
        }
        let now = desk.clock().now();
        let left = self
            .shared
            .live()
            .values()
            .map(|(caller, target, arrived)| Leftover {
                caller: *caller,
                target: target.clone(),
                age: now.duration_since(*arrived),
            })
            .collect();
        self.phase.send_replace(Phase::Cut);
        self.stop();
        left
    }

    fn stop(&mut self) {
        for task in self.tasks.drain(..) {
            task.abort();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.phase.send_replace(Phase::Cut);
        self.stop();
    }
}

impl Shared {
    fn live(
        &self,
    ) -> std::sync::MutexGuard<'_, IndexMap<u64, (SocketAddr, String, std::time::Instant)>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn tick(context: Arc<Context>) {
    loop {
        let pause = context.deps.desk.tick();
        sleep(pause.max(Duration::from_millis(1))).await;
    }
}

async fn sweep(context: Arc<Context>) {
    loop {
        sleep(SWEEP).await;
        context.pool.sweep();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut phase: watch::Receiver<Phase>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase > Phase::Open) => return,
        };
        match accepted {
            Ok((stream, caller)) => match shared.connections.open().await {
                Some(connection) => {
                    let (shared, phase) = (shared.clone(), phase.clone());
                    tokio::spawn(serve(stream, caller, connection, shared, phase));
                }
                None => {
                    if let Err(error) = stream::refuse(stream, REFUSED_FIELDS) {
                        log::debug!("event=refusal_not_sent error=\"{error}\"");
                    }
                }
            },
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    caller: SocketAddr,
    connection: Arc<Connection>,
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
) {
    let settings = shared.context.deps.settings.clone();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let verdicts = Verdicts::default();
    let intake = shared.context.intake.clone();
    let framing = Box::new(Framing::new(verdicts.clone()));
    let stream = Stream::new(stream, connection.clone(), intake.clone(), Some(framing));
    let io = TokioIo::new(stream);
    let open = connection.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (shared, connection) = (shared.clone(), open.clone());
        if verdicts.next().unwrap_or(false) {
            request.extensions_mut().insert(Ambiguous);
        }
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        async move {
            connection.set(Stage::Working);
            let id = shared.next.fetch_add(1, Ordering::Relaxed);
            let now = shared.context.deps.desk.clock().now();
            let target = format!("{} {}", request.method(), request.uri().path());
            shared.live().insert(id, (caller, target, now));
            let entry = LiveEntry {
                shared: shared.clone(),
                id,
            };
            let tracked = connection.clone();
            let mut response = answer(shared.context.clone(), request, connection).await;
            if chunked {
                // What follows such a request could be the rest of a body by another reading.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| Tracked {
                body,
                connection: tracked,
                _entry: entry,
            }))
        }
    });
    let http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.caller_stall)
        .max_buf_size(settings.max_head.max(8192))
        .max_headers(settings.max_headers)
        .half_close(false)
        .serve_connection(io, service);
    tokio::pin!(http);
    tokio::select! {
        result = http.as_mut() => {
            if let Err(error) = result {
                if error.is_parse_too_large() {
                    intake.meter.note(Reason::HeadSize);
                }
                log::debug!("event=connection_ended caller={caller} error={error}");
            }
            return;
        }
        () = connection.closed() => return,
        _ = phase.wait_for(|phase| *phase > Phase::Open) => http.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = http.as_mut() => {}
        () = connection.closed() => {}
        _ = phase.wait_for(|phase| *phase > Phase::Closing) => {}
    }
}

/// Keeps a request on the list of those in progress.
struct LiveEntry {
    shared: Arc<Shared>,
    id: u64,
}

impl Drop for LiveEntry {
    fn drop(&mut self) {
        self.shared.live().swap_remove(&self.id);
    }
}

/// An answer's body that keeps its request on the list until its end.
struct Tracked {
    body: crate::body::Reply,
    connection: Arc<Connection>,
    _entry: LiveEntry,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.connection.set(Stage::Answering);
    }
}

impl hyper::body::Body for Tracked {
    type Data = bytes::Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Self::Data>, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
