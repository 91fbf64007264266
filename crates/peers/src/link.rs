use {
    super::{
        Error,
        call::{Answer, Call},
    },
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty},
    futures::AsyncReadExt,
    std::{
        cell::{Cell, RefCell},
        future::Future,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, sync::mpsc, task::spawn_local, time},
    tokio_util::compat::TokioAsyncReadCompatExt,
    wire::{Update, Verdict, peer_capnp::peer},
};

/// Unanswered consensus messages to one instance beyond which further ones are dropped. The consensus core
/// sends lost messages again, and a slow peer must not fill this instance's memory.
const MAX_DELIVERIES_IN_FLIGHT: usize = 64;

/// Connections and calls to one other instance.
pub(super) struct Link {
    address: SocketAddr,
    own_id: u64,
    timeout: Duration,
    client: RefCell<Option<(u64, peer::Client)>>,
    generation: Cell<u64>,
    deliveries: Cell<usize>,
}

impl Link {
    pub(super) fn new(address: SocketAddr, own_id: u64, timeout: Duration) -> Rc<Link> {
        Rc::new(Link {
            address,
            own_id,
            timeout,
            client: RefCell::new(None),
            generation: Cell::new(0),
            deliveries: Cell::new(0),
        })
    }

    /// Sends calls in the order of the queue until the queue is closed.
    pub(super) async fn run(self: Rc<Self>, mut calls: mpsc::Receiver<Call>) {
        while let Some(call) = calls.recv().await {
            match self.connect().await {
                Ok((generation, client)) => self.send(generation, &client, call),
                Err(reason) => {
                    call.fail(Error::NotSent(reason.clone()));
                    while let Ok(call) = calls.try_recv() {
                        call.fail(Error::NotSent(reason.clone()));
                    }
                }
            }
        }
    }

    async fn connect(&self) -> Result<(u64, peer::Client), String> {
        if let Some((generation, client)) = self.client.borrow().as_ref() {
            return Ok((*generation, client.clone()));
        }
        let stream = time::timeout(self.timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_| format!("{} did not accept in time", self.address))?
            .map_err(|error| format!("{}: {error}", self.address))?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let (reader, writer) = stream.compat().split();
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            rpc_twoparty_capnp::Side::Client,
            super::server::reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        spawn_local(system);
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        *self.client.borrow_mut() = Some((generation, client.clone()));
        Ok((generation, client))
    }

    /// Drops the connection so that the next call opens a new one. A connection that swallows bytes looks
    /// open for good, so a missing answer is reason enough.
    fn discard(&self, generation: u64) {
        let mut client = self.client.borrow_mut();
        if client
            .as_ref()
            .is_some_and(|(current, _)| *current == generation)
        {
            *client = None;
        }
    }

    fn send(self: &Rc<Self>, generation: u64, client: &peer::Client, call: Call) {
        match call {
            Call::Deliver { group, messages } => {
                if self.deliveries.get() >= MAX_DELIVERIES_IN_FLIGHT {
                    return;
                }
                self.deliveries.set(self.deliveries.get() + 1);
                let mut request = client.deliver_request();
                let mut params = request.get();
                params.set_group(group.as_str());
                params.set_sender(self.own_id);
                let mut list = params.init_messages(messages.len() as u32);
                for (index, message) in messages.iter().enumerate() {
                    list.set(index as u32, message);
                }
                let link = self.clone();
                let promise = request.send().promise;
                spawn_local(async move {
                    let answer = time::timeout(link.timeout, promise).await;
                    link.deliveries.set(link.deliveries.get() - 1);
                    if !matches!(answer, Ok(Ok(_))) {
                        link.discard(generation);
                    }
                });
            }
            Call::Propose {
                group,
                command,
                answer,
            } => {
                let mut request = client.propose_request();
                request.get().set_group(group.as_str());
                request.get().set_command(&command);
                let promise = request.send().promise;
                self.finish(generation, answer, async move {
                    Verdict::read(promise.await?.get()?.get_verdict()?)
                });
            }
            Call::Query {
                group,
                query,
                answer,
            } => {
                let mut request = client.query_request();
                request.get().set_group(group.as_str());
                request.get().set_query(&query);
                let promise = request.send().promise;
                self.finish(generation, answer, async move {
                    Verdict::read(promise.await?.get()?.get_verdict()?)
                });
            }
            Call::Report {
                group,
                report,
                answer,
            } => {
                let mut request = client.report_request();
                request.get().set_group(group.as_str());
                request.get().set_instance(self.own_id);
                request.get().set_report(&report);
                let promise = request.send().promise;
                self.finish(generation, answer, async move {
                    Verdict::read(promise.await?.get()?.get_verdict()?)
                });
            }
            Call::Follow {
                incarnation,
                applied,
                answer,
            } => {
                let mut request = client.follow_request();
                request.get().set_instance(self.own_id);
                request.get().set_incarnation(incarnation);
                request.get().set_applied(applied);
                let promise = request.send().promise;
                self.finish(generation, answer, async move {
                    Update::read(promise.await?.get()?.get_update()?)
                });
            }
            Call::Gossip { entries, answer } => {
                let mut request = client.gossip_request();
                request.get().set_instance(self.own_id);
                request.get().set_entries(&entries);
                let promise = request.send().promise;
                self.finish(generation, answer, async move {
                    Ok(promise.await?.get()?.get_entries()?.to_vec())
                });
            }
        }
    }

    fn finish<T: 'static>(
        self: &Rc<Self>,
        generation: u64,
        answer: Answer<T>,
        result: impl Future<Output = capnp::Result<T>> + 'static,
    ) {
        let link = self.clone();
        spawn_local(async move {
            let result = match time::timeout(link.timeout, result).await {
                Ok(Ok(value)) => Ok(value),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err(format!("no answer within {} ms", link.timeout.as_millis())),
            };
            if result.is_err() {
                link.discard(generation);
            }
            drop(answer.send(result.map_err(Error::NoAnswer)));
        });
    }
}
