use {
    super::{
        lease::{Connection, Lease},
        socket::Socket,
    },
    crate::Settings,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    indexmap::IndexMap,
    std::{
        io,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, timeout},
    },
};

/// Time for which a connection that just ended an answer may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Upstreams without a connection after which their entries are dropped.
const MAX_UPSTREAMS: usize = 256;

/// The connections of one instance to all upstreams.
pub(crate) struct Pool {
    settings: Settings,
    upstreams: Mutex<IndexMap<String, Arc<Upstream>>>,
}

/// The connections to one upstream.
pub(super) struct Upstream {
    idle: Mutex<Vec<Connection>>,
    /// Bounds the open connections.
    open: Arc<Semaphore>,
    /// Bounds the connections being opened; grows by one per success, so that a restarted instance does
    /// not open all of them at once.
    opening: Semaphore,
    ramp: AtomicUsize,
    bound: usize,
}

impl Upstream {
    pub(super) fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.bound {
            idle.push(connection);
        } else {
            connection.task.abort();
        }
    }

    fn take(&self, settings: &Settings) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            let fresh = connection.idle_since.elapsed() < settings.idle_reuse
                && connection.born.elapsed() < settings.connection_age;
            if fresh && connection.is_quiet() {
                return Some(connection);
            }
            connection.task.abort();
        }
        None
    }
}

impl Pool {
    pub(crate) fn new(settings: Settings) -> Pool {
        Pool {
            settings,
            upstreams: Mutex::new(IndexMap::new()),
        }
    }

    fn upstream(&self, address: &str) -> Arc<Upstream> {
        let mut upstreams = self
            .upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream) = upstreams.get(address) {
            return upstream.clone();
        }
        if upstreams.len() >= MAX_UPSTREAMS {
            upstreams.retain(|_, upstream| upstream.open.available_permits() < upstream.bound);
        }
        let bound = (self.settings.upstream_connections / self.settings.instances.max(1)).max(1);
        let upstream = Arc::new(Upstream {
            idle: Mutex::new(Vec::new()),
            open: Arc::new(Semaphore::new(bound)),
            opening: Semaphore::new(1),
            ramp: AtomicUsize::new(1),
            bound,
        });
        upstreams.insert(address.to_owned(), upstream.clone());
        upstream
    }

    /// Returns a connection on which nothing was sent for this request yet.
    pub(crate) async fn lease(&self, address: &str, reuse: bool) -> io::Result<Lease> {
        let upstream = self.upstream(address);
        while let Some(mut connection) = if reuse {
            upstream.take(&self.settings)
        } else {
            None
        } {
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) && connection.is_quiet() {
                return Ok(Lease {
                    connection: Some(connection),
                    upstream,
                    reused: true,
                });
            }
            connection.task.abort();
        }
        let connection = timeout(self.settings.connect_timeout, open(&upstream, address))
            .await
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
        Ok(Lease {
            connection: Some(connection),
            upstream,
            reused: false,
        })
    }

    /// Closes idle connections that are too old to be reused.
    pub(crate) fn sweep(&self) {
        let upstreams: Vec<_> = {
            let upstreams = self
                .upstreams
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            upstreams.values().cloned().collect()
        };
        for upstream in upstreams {
            let mut idle = upstream.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.retain(|connection| {
                let keep = connection.idle_since.elapsed() < self.settings.idle_reuse;
                if !keep {
                    connection.task.abort();
                }
                keep
            });
        }
    }
}

async fn open(upstream: &Upstream, address: &str) -> io::Result<Connection> {
    let permit: OwnedSemaphorePermit = upstream
        .open
        .clone()
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let opening = upstream.opening.acquire().await.map_err(io::Error::other)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let stream = Arc::new(stream);
    let socket = Arc::downgrade(&stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(Socket(stream)))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        let _permit = permit;
        // The request that used the connection sees the error; here it only ends the task.
        let _ = connection.await;
    });
    drop(opening);
    if upstream.ramp.load(Ordering::Relaxed) < upstream.bound {
        upstream.ramp.fetch_add(1, Ordering::Relaxed);
        upstream.opening.add_permits(1);
    }
    let now = Instant::now();
    Ok(Connection {
        sender,
        socket,
        born: now,
        idle_since: now,
        task: task.abort_handle(),
    })
}
