use {
    super::{
        Error, Handler,
        call::{Answer, Call},
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

/// Calls waiting for one instance beyond which new ones fail at once.
const MAX_QUEUED_CALLS: usize = 1024;

/// Where the calls of a link go, and the calls.
type Queue = (SocketAddr, mpsc::Receiver<Call>);

/// The running connections to and from the other instances.
#[derive(Clone)]
pub struct Peers {
    calls: Arc<Mutex<IndexMap<u64, mpsc::Sender<Call>>>>,
    opened: mpsc::UnboundedSender<Queue>,
    resolver: Arc<dyn Resolver>,
    handler: Arc<OnceLock<Arc<dyn Handler>>>,
    address: SocketAddr,
}

impl Peers {
    /// Listens on `address` and starts the thread that serves all connections.
    ///
    /// `addresses` gives the peer address of every other instance by id. A call without an answer within
    /// `timeout` fails and its connection is replaced.
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

    /// Does the same for a deployment whose instances are not known at the start; `resolver` finds the address
    /// of an instance when it is first called.
    pub fn bind_with_resolver(
        own_id: u64,
        address: SocketAddr,
        resolver: Arc<dyn Resolver>,
        timeout: Duration,
    ) -> Result<Peers, Error> {
        let listener = TcpListener::bind(address).map_err(Error::Bind)?;
        listener.set_nonblocking(true).map_err(Error::Bind)?;
        let address = listener.local_addr().map_err(Error::Bind)?;
        let (opened, queues) = mpsc::unbounded_channel();
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
                    serve(listener, queues, server_handler, own_id, timeout),
                )
            })
            .map_err(Error::Bind)?;
        Ok(Peers {
            calls: Arc::default(),
            opened,
            resolver,
            handler,
            address,
        })
    }

    /// The address on which this instance listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is done with calls from other instances; until then they are answered "not run".
    pub fn set_handler(&self, handler: Arc<dyn Handler>) {
        drop(self.handler.set(handler));
    }

    /// Sends consensus messages without waiting; they may be lost.
    pub fn deliver(&self, to: u64, group: &str, messages: Vec<Vec<u8>>) {
        if let Some(calls) = self.link(to) {
            drop(calls.try_send(Call::Deliver {
                group: group.to_owned(),
                messages,
            }));
        }
    }

    /// Proposes a command to an instance that may lead the group.
    pub async fn propose(&self, to: u64, group: &str, command: &[u8]) -> Result<Verdict, Error> {
        let (group, command) = (group.to_owned(), command.to_vec());
        self.call(to, |answer| Call::Propose {
            group,
            command,
            answer,
        })
        .await
    }

    /// Reads from an instance that may lead the group.
    pub async fn query(&self, to: u64, group: &str, query: &[u8]) -> Result<Verdict, Error> {
        let (group, query) = (group.to_owned(), query.to_vec());
        self.call(to, |answer| Call::Query {
            group,
            query,
            answer,
        })
        .await
    }

    /// Asks an instance that may lead the group `config` for newer configuration and a lease.
    pub async fn follow(&self, to: u64, incarnation: u64, applied: u64) -> Result<Update, Error> {
        self.call(to, |answer| Call::Follow {
            incarnation,
            applied,
            answer,
        })
        .await
    }

    /// Reports to an instance that may lead the group.
    pub async fn report(&self, to: u64, group: &str, report: &[u8]) -> Result<Verdict, Error> {
        let (group, report) = (group.to_owned(), report.to_vec());
        self.call(to, |answer| Call::Report {
            group,
            report,
            answer,
        })
        .await
    }

    /// Sends membership entries and returns those of the other instance.
    pub async fn gossip(&self, to: u64, entries: Vec<u8>) -> Result<Vec<u8>, Error> {
        self.call(to, |answer| Call::Gossip { entries, answer })
            .await
    }

    /// The queue of an instance; opens its link if the resolver knows the instance.
    fn link(&self, to: u64) -> Option<mpsc::Sender<Call>> {
        let known = self.links().get(&to).cloned();
        known.or_else(|| {
            self.resolver
                .resolve(to)
                .map(|address| self.open_link(to, address))
        })
    }

    fn open_link(&self, id: u64, address: SocketAddr) -> mpsc::Sender<Call> {
        let mut links = self.links();
        let entry = links.entry(id).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_CALLS);
            // Fails only once the thread has ended; calls then find a closed queue.
            drop(self.opened.send((address, receiver)));
            sender
        });
        entry.clone()
    }

    fn links(&self) -> MutexGuard<'_, IndexMap<u64, mpsc::Sender<Call>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<T>(&self, to: u64, call: impl FnOnce(Answer<T>) -> Call) -> Result<T, Error> {
        let calls = self.link(to).ok_or(Error::NoPeer(to))?;
        let (answer, result) = oneshot::channel();
        calls
            .try_send(call(answer))
            .map_err(|_| Error::NotSent("too many calls are waiting".into()))?;
        result
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer("the connection was closed".into())))
    }
}

async fn serve(
    listener: TcpListener,
    mut queues: mpsc::UnboundedReceiver<Queue>,
    handler: Arc<OnceLock<Arc<dyn Handler>>>,
    own_id: u64,
    timeout: Duration,
) {
    spawn_local(async move {
        while let Some((address, receiver)) = queues.recv().await {
            spawn_local(Link::new(address, own_id, timeout).run(receiver));
        }
    });
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => server::accept(listener, handler).await,
        Err(error) => log_bind(&error),
    }
}

fn log_bind(error: &io::Error) {
    log::error!("event=peers_listen_failed error=\"{error}\"");
}
