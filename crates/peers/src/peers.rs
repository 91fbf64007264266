use {
    super::{
        Error, Handler,
        call::{Call, ResultSender},
        link::Link,
        resolver::{NullResolver, Resolver},
        server,
    },
    indexmap::IndexMap,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
        thread,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::{LocalSet, spawn_local},
    },
    wire::{Update, Verdict},
};

/// Calls queued for one instance beyond which new ones fail at once and consensus messages are
/// dropped.
const MAX_QUEUED_CALLS: usize = 1024;

/// Address of an instance and the queue of calls to it.
type NewLink = (SocketAddr, mpsc::Receiver<Call>);

/// Handle to the connections to and from the other instances.
#[derive(Clone)]
pub struct Peers {
    /// Queue of calls for each instance that has a link, by id.
    queues: Arc<Mutex<IndexMap<u64, mpsc::Sender<Call>>>>,
    new_links: mpsc::UnboundedSender<NewLink>,
    resolver: Arc<dyn Resolver>,
    handler: Arc<OnceLock<Arc<dyn Handler>>>,
    address: SocketAddr,
}

impl Peers {
    /// Listens on `address` and starts the network thread.
    ///
    /// `own_id` names this instance in its calls. `addresses` holds the listen address of every
    /// other instance by id. `timeout` limits opening a connection and waiting for an answer. A
    /// call without an answer fails, and its connection is replaced.
    pub fn bind(
        own_id: u64,
        address: SocketAddr,
        addresses: impl IntoIterator<Item = (u64, SocketAddr)>,
        timeout: Duration,
    ) -> Result<Peers, Error> {
        let peers = Peers::bind_with_resolver(own_id, address, Arc::new(NullResolver), timeout)?;
        for (id, address) in addresses {
            peers.open_link(id, address);
        }
        Ok(peers)
    }

    /// Like [`bind`](Self::bind), for deployments whose instances are not known at the start: each
    /// call to an instance asks `resolver` for its address until there is one, which is then kept.
    pub fn bind_with_resolver(
        own_id: u64,
        address: SocketAddr,
        resolver: Arc<dyn Resolver>,
        timeout: Duration,
    ) -> Result<Peers, Error> {
        let listener = TcpListener::bind(address).map_err(Error::Bind)?;
        listener.set_nonblocking(true).map_err(Error::Bind)?;
        let address = listener.local_addr().map_err(Error::Bind)?;
        let (new_links, link_receiver) = mpsc::unbounded_channel();
        let handler = Arc::new(OnceLock::new());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Bind)?;
        let server_handler = handler.clone();
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(
                    &runtime,
                    run(listener, link_receiver, server_handler, own_id, timeout),
                )
            })
            .map_err(Error::Bind)?;
        Ok(Peers {
            queues: Arc::default(),
            new_links,
            resolver,
            handler,
            address,
        })
    }

    /// The address on which this instance listens, with the port that the system chose if 0 was
    /// asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the handler of calls from other instances. The first one set stays. Until then,
    /// commands, queries and reports are answered [`Verdict::NotRun`], `follow`
    /// [`Update::NotLeader`] and `gossip` with no entries, and consensus messages are dropped.
    pub fn set_handler(&self, handler: Arc<dyn Handler>) {
        drop(self.handler.set(handler));
    }

    /// Queues consensus messages without waiting; they may be lost.
    pub fn deliver(&self, to: u64, group: &str, messages: Vec<Vec<u8>>) {
        if let Some(queue) = self.queue(to) {
            drop(queue.try_send(Call::Deliver {
                group: group.to_owned(),
                messages,
            }));
        }
    }

    /// Proposes a command to an instance that may lead the group; if it does not, the answer is
    /// [`Verdict::NotLeader`].
    pub async fn propose(&self, to: u64, group: &str, command: &[u8]) -> Result<Verdict, Error> {
        let (group, command) = (group.to_owned(), command.to_vec());
        self.call(to, |result_sender| Call::Propose {
            group,
            command,
            result_sender,
        })
        .await
    }

    /// Sends a query to an instance that may lead the group.
    pub async fn query(&self, to: u64, group: &str, query: &[u8]) -> Result<Verdict, Error> {
        let (group, query) = (group.to_owned(), query.to_vec());
        self.call(to, |result_sender| Call::Query {
            group,
            query,
            result_sender,
        })
        .await
    }

    /// Asks an instance that may lead the group `config` for a lease on the configuration, and for
    /// the configuration itself if it is newer than the number `applied` (0 for none).
    /// `incarnation` differs with each start of this process.
    pub async fn follow(&self, to: u64, incarnation: u64, applied: u64) -> Result<Update, Error> {
        self.call(to, |result_sender| Call::Follow {
            incarnation,
            applied,
            result_sender,
        })
        .await
    }

    /// Sends a report to an instance that may lead the group.
    pub async fn report(&self, to: u64, group: &str, report: &[u8]) -> Result<Verdict, Error> {
        let (group, report) = (group.to_owned(), report.to_vec());
        self.call(to, |result_sender| Call::Report {
            group,
            report,
            result_sender,
        })
        .await
    }

    /// Sends what this instance knows about the upstreams. Returns the entries that the other one
    /// sends back, if any.
    pub async fn gossip(&self, to: u64, entries: Vec<u8>) -> Result<Vec<u8>, Error> {
        self.call(to, |result_sender| Call::Gossip {
            entries,
            result_sender,
        })
        .await
    }

    /// The queue of an instance. Creates its link on first use if the resolver finds an address.
    fn queue(&self, to: u64) -> Option<mpsc::Sender<Call>> {
        let known = self.queues().get(&to).cloned();
        known.or_else(|| {
            self.resolver
                .resolve(to)
                .map(|address| self.open_link(to, address))
        })
    }

    fn open_link(&self, id: u64, address: SocketAddr) -> mpsc::Sender<Call> {
        let mut queues = self.queues();
        let entry = queues.entry(id).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_CALLS);
            // Fails only after the network thread has ended; calls then find a closed queue.
            drop(self.new_links.send((address, receiver)));
            sender
        });
        entry.clone()
    }

    fn queues(&self) -> MutexGuard<'_, IndexMap<u64, mpsc::Sender<Call>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<T>(
        &self,
        to: u64,
        call: impl FnOnce(ResultSender<T>) -> Call,
    ) -> Result<T, Error> {
        let queue = self.queue(to).ok_or(Error::NoPeer(to))?;
        let (result_sender, result) = oneshot::channel();
        queue
            .try_send(call(result_sender))
            .map_err(|_| Error::NotSent("the queue of calls is full or closed".into()))?;
        // The sender is dropped if the network thread ends or the task of the call panics.
        result
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer("the call was dropped".into())))
    }
}

/// Runs the network thread: accepts connections and runs a task for each link. Ends only if the
/// listener cannot be registered with the runtime; every call then fails.
async fn run(
    listener: TcpListener,
    mut new_links: mpsc::UnboundedReceiver<NewLink>,
    handler: Arc<OnceLock<Arc<dyn Handler>>>,
    own_id: u64,
    timeout: Duration,
) {
    spawn_local(async move {
        while let Some((address, receiver)) = new_links.recv().await {
            spawn_local(Link::new(address, own_id, timeout).run(receiver));
        }
    });
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => server::accept(listener, handler).await,
        Err(error) => log_listen_failure(&error),
    }
}

fn log_listen_failure(error: &io::Error) {
    log::error!("event=peers_listen_failed error=\"{error}\"");
}
