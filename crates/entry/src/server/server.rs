use {
    super::{Error, framing::Verdicts, guarded::Guarded},
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
        sync::{Semaphore, watch},
        task::JoinHandle,
        time::{Instant, sleep, timeout_at},
    },
};

/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_millis(500);

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
    connections: Arc<Semaphore>,
    bound: usize,
}

impl Server {
    /// Listens on `address`. Needs a tokio runtime with time and I/O.
    pub async fn bind(address: SocketAddr, deps: Deps) -> Result<Server, Error> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| Error::Bind(address, error))?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::Bind(address, error))?;
        let bound = deps.settings.max_connections;
        let shared = Arc::new(Shared {
            context: Arc::new(Context {
                pool: Pool::new(deps.settings.clone()),
                keys: Keys::default(),
                memory: Arc::new(Semaphore::new(deps.settings.replay_memory)),
                deps,
            }),
            live: Mutex::new(IndexMap::new()),
            next: AtomicU64::new(1),
            connections: Arc::new(Semaphore::new(bound)),
            bound,
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
        // Each connection holds a permit, so all permits mean no connection. Requests that go on without
        // their caller are counted by the router.
        let all = self.shared.connections.clone();
        let count = self.shared.bound as u32;
        let _ = timeout_at(end, all.acquire_many(count)).await;
        while Instant::now() < end && desk.with(|router, _| router.pending()) > 0 {
            sleep(Duration::from_millis(10)).await;
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
        let permit = tokio::select! {
            permit = shared.connections.clone().acquire_owned() => permit,
            _ = phase.wait_for(|phase| *phase > Phase::Open) => return,
        };
        let Ok(permit) = permit else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase > Phase::Open) => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                let (shared, phase) = (shared.clone(), phase.clone());
                tokio::spawn(async move {
                    serve(stream, caller, shared, phase).await;
                    drop(permit);
                });
            }
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
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
) {
    let settings = shared.context.deps.settings.clone();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let verdicts = Verdicts::default();
    let guarded = Guarded::new(stream, settings.caller_stall, verdicts.clone());
    let io = TokioIo::new(guarded);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let shared = shared.clone();
        if verdicts.next().unwrap_or(false) {
            request.extensions_mut().insert(Ambiguous);
        }
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        async move {
            let id = shared.next.fetch_add(1, Ordering::Relaxed);
            let now = shared.context.deps.desk.clock().now();
            let target = format!("{} {}", request.method(), request.uri().path());
            shared.live().insert(id, (caller, target, now));
            let entry = LiveEntry {
                shared: shared.clone(),
                id,
            };
            let mut response = answer(shared.context.clone(), request).await;
            if chunked {
                // What follows such a request could be the rest of a body by another reading.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| Tracked {
                body,
                _entry: entry,
            }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.caller_stall)
        .max_buf_size(settings.max_head.max(8192))
        .max_headers(settings.max_headers)
        .half_close(false)
        .serve_connection(io, service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(error) = result {
                log::debug!("event=connection_ended caller={caller} error={error}");
            }
            return;
        }
        _ = phase.wait_for(|phase| *phase > Phase::Open) => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection.as_mut() => {}
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
    _entry: LiveEntry,
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
