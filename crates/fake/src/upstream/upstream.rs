use {
    super::{Behaviour, Run, exchange},
    indexmap::IndexMap,
    model::{place::Site, upstream::Announcement},
    std::{
        collections::VecDeque,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Most request heads that are kept for inspection.
const HEADS_KEPT: usize = 64;

#[derive(Default)]
struct Inner {
    behaviour: Behaviour,
    next: VecDeque<Behaviour>,
    executions: IndexMap<String, u64>,
    total: u64,
    busy: u16,
    peak: u16,
    connections: u64,
    heads: VecDeque<String>,
    sequence: u64,
    /// Every request, while recording.
    runs: Option<Vec<Run>>,
}

/// A running stand-in; stops when dropped.
///
/// It runs a request when it has read all of it, and counts runs per `idempotency-key`.
pub struct Upstream {
    upstream: model::upstream::Upstream,
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    silent: watch::Sender<bool>,
    held: watch::Sender<bool>,
    task: JoinHandle<()>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Upstream {
    /// Starts a stand-in on a free port of the loopback interface.
    pub async fn spawn(name: &str, service: &str, site: Site, slots: u16) -> io::Result<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let wall = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(1, |elapsed| elapsed.as_millis() as u64);
        lock(&inner).sequence = wall;
        let (silent, heard) = watch::channel(false);
        let (held, hold) = watch::channel(false);
        let signals = Signals {
            silent: heard,
            held: hold,
        };
        let task = tokio::spawn(accept(listener, inner.clone(), signals));
        let upstream = model::upstream::Upstream {
            name: name.to_owned(),
            service: service.to_owned(),
            site,
            address: address.to_string(),
            slots,
            connections: 64,
        };
        Ok(Upstream {
            upstream,
            address,
            inner,
            silent,
            held,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next announcement, with its busy slots.
    pub fn announcement(&self) -> Announcement {
        let mut inner = lock(&self.inner);
        inner.sequence += 1;
        Announcement {
            upstream: self.upstream.clone(),
            sequence: inner.sequence,
            departing: false,
            busy: Some(inner.busy),
        }
    }

    /// Sets what it does with requests from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        lock(&self.inner).behaviour = behaviour;
    }

    /// Sets what it does with one request, after those set earlier.
    pub fn behave_once(&self, behaviour: Behaviour) {
        lock(&self.inner).next.push_back(behaviour);
    }

    /// Goes silent for good: connections are accepted and bytes swallowed, and nothing is answered, also not
    /// the requests in progress.
    pub fn silence(&self) {
        self.silent.send_replace(true);
    }

    /// Keeps requests that arrive from now on in progress until they are [released](Upstream::release).
    pub fn hold(&self) {
        self.held.send_replace(true);
    }

    /// Goes on with all requests.
    pub fn release(&self) {
        self.held.send_replace(false);
    }

    /// Records every request from now on.
    pub fn record(&self) {
        lock(&self.inner).runs.get_or_insert_default();
    }

    /// The requests recorded so far in the order of their arrival.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.inner).runs.clone().unwrap_or_default()
    }

    /// How often the request with this key ran.
    pub fn executions(&self, key: &str) -> u64 {
        lock(&self.inner).executions.get(key).copied().unwrap_or(0)
    }

    /// Requests that ran.
    pub fn total(&self) -> u64 {
        lock(&self.inner).total
    }

    /// Requests in progress.
    pub fn busy(&self) -> u16 {
        lock(&self.inner).busy
    }

    /// The most requests that were in progress at once.
    pub fn peak(&self) -> u16 {
        lock(&self.inner).peak
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        lock(&self.inner).connections
    }

    /// Heads of the last requests.
    pub fn heads(&self) -> Vec<String> {
        lock(&self.inner).heads.iter().cloned().collect()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What the owner of a stand-in tells its connections.
#[derive(Clone)]
struct Signals {
    silent: watch::Receiver<bool>,
    held: watch::Receiver<bool>,
}

async fn accept(listener: TcpListener, inner: Arc<Mutex<Inner>>, signals: Signals) {
    // Connections end with the task, when the set is dropped.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                lock(&inner).connections += 1;
                connections.spawn(serve(stream, inner.clone(), signals.clone()));
            }
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Counts a request as in progress until dropped.
pub(super) struct Busy {
    inner: Arc<Mutex<Inner>>,
    /// Its place among the recorded requests.
    run: Option<usize>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut inner = lock(&self.inner);
        inner.busy -= 1;
        let run = self.run;
        if let (Some(runs), Some(run)) = (&mut inner.runs, run) {
            runs[run].ended = Some(Instant::now());
        }
    }
}

async fn serve(mut stream: TcpStream, inner: Arc<Mutex<Inner>>, mut signals: Signals) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut buffer = Vec::new();
    while let Ok(Some(received)) = exchange::read(&mut stream, &mut buffer).await {
        let (behaviour, busy) = begin(&inner, &received);
        let mut busy = Some(busy);
        let open = tokio::select! {
            open = async {
                drop(signals.held.wait_for(|held| !*held).await);
                exchange::answer(&mut stream, &received, &behaviour, &mut busy).await
            } => open,
            () = async { drop(signals.silent.wait_for(|silent| *silent).await) } => {
                exchange::until_closed(&mut stream).await;
                Ok(false)
            }
        };
        drop(busy);
        if !matches!(open, Ok(true)) {
            return;
        }
    }
}

/// Counts a request and chooses what to do with it.
fn begin(shared: &Arc<Mutex<Inner>>, received: &exchange::Received) -> (Behaviour, Busy) {
    let mut inner = lock(shared);
    inner.total += 1;
    inner.busy += 1;
    inner.peak = inner.peak.max(inner.busy);
    if let Some(key) = received.header("idempotency-key") {
        *inner.executions.entry(key.to_owned()).or_default() += 1;
    }
    inner.heads.push_back(received.head_text());
    if inner.heads.len() > HEADS_KEPT {
        inner.heads.pop_front();
    }
    let run = inner.runs.as_mut().map(|runs| {
        runs.push(Run {
            id: received.header("x-fake-id").unwrap_or_default().to_owned(),
            began: Instant::now(),
            ended: None,
        });
        runs.len() - 1
    });
    let form = match received.header("x-fake-form") {
        Some("chunked") => Behaviour::EchoChunked,
        Some("part") => Behaviour::EchoPart,
        _ => Behaviour::Answer,
    };
    let delay = received
        .header("x-fake-delay-ms")
        .and_then(|ms| ms.parse().ok())
        .map(|ms| form(Duration::from_millis(ms)));
    let behaviour = match inner.next.pop_front() {
        Some(next) => next,
        None => delay.unwrap_or_else(|| inner.behaviour.clone()),
    };
    drop(inner);
    let inner = shared.clone();
    (behaviour, Busy { inner, run })
}
