use {
    super::{
        Error,
        call::{Call, ResultSender},
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

/// Unacknowledged `deliver` calls to one instance beyond which further ones are dropped, so that a
/// slow instance does not fill the memory of this one. The crate `quorum` sends lost messages
/// again.
const MAX_DELIVERIES_IN_FLIGHT: usize = 64;

/// Connection to one other instance. It is opened on demand and replaced after a call without an
/// answer.
pub(super) struct Link {
    address: SocketAddr,
    own_id: u64,
    /// Limit for opening the connection, and for each answer.
    timeout: Duration,
    /// The open connection, and its generation by which [`Link::disconnect`] spares a newer
    /// connection.
    client: RefCell<Option<(u64, peer::Client)>>,
    /// Number of connections opened so far.
    generation: Cell<u64>,
    deliveries_in_flight: Cell<usize>,
}

impl Link {
    pub(super) fn new(address: SocketAddr, own_id: u64, timeout: Duration) -> Rc<Link> {
        Rc::new(Link {
            address,
            own_id,
            timeout,
            client: RefCell::new(None),
            generation: Cell::new(0),
            deliveries_in_flight: Cell::new(0),
        })
    }

    /// Sends calls in queue order until the queue is closed. If no connection can be opened, all
    /// queued calls fail.
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

    /// Returns the open connection and its generation; opens one if there is none.
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

    /// Gives up the connection so that the next call opens a new one, unless a newer one is already
    /// open. One missing answer is enough for this: a connection that loses all data can look open
    /// forever.
    fn disconnect(&self, generation: u64) {
        let mut client = self.client.borrow_mut();
        if client
            .as_ref()
            .is_some_and(|(current, _)| *current == generation)
        {
            *client = None;
        }
    }

    /// Sends a call and spawns a task that waits for its answer.
    fn send(self: &Rc<Self>, generation: u64, client: &peer::Client, call: Call) {
        match call {
            Call::Deliver { group, messages } => {
                if self.deliveries_in_flight.get() >= MAX_DELIVERIES_IN_FLIGHT {
                    return;
                }
                self.deliveries_in_flight
                    .set(self.deliveries_in_flight.get() + 1);
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
                    let acknowledgement = time::timeout(link.timeout, promise).await;
                    link.deliveries_in_flight
                        .set(link.deliveries_in_flight.get() - 1);
                    if !matches!(acknowledgement, Ok(Ok(_))) {
                        link.disconnect(generation);
                    }
                });
            }
            Call::Propose {
                group,
                command,
                result_sender,
            } => {
                let mut request = client.propose_request();
                request.get().set_group(group.as_str());
                request.get().set_command(&command);
                let promise = request.send().promise;
                self.forward_answer(generation, result_sender, async move {
                    Verdict::read(promise.await?.get()?.get_verdict()?)
                });
            }
            Call::Query {
                group,
                query,
                result_sender,
            } => {
                let mut request = client.query_request();
                request.get().set_group(group.as_str());
                request.get().set_query(&query);
                let promise = request.send().promise;
                self.forward_answer(generation, result_sender, async move {
                    Verdict::read(promise.await?.get()?.get_verdict()?)
                });
            }
            Call::Report {
                group,
                report,
                result_sender,
            } => {
                let mut request = client.report_request();
                request.get().set_group(group.as_str());
                request.get().set_instance(self.own_id);
                request.get().set_report(&report);
                let promise = request.send().promise;
                self.forward_answer(generation, result_sender, async move {
                    Verdict::read(promise.await?.get()?.get_verdict()?)
                });
            }
            Call::Follow {
                incarnation,
                applied,
                result_sender,
            } => {
                let mut request = client.follow_request();
                request.get().set_instance(self.own_id);
                request.get().set_incarnation(incarnation);
                request.get().set_applied(applied);
                let promise = request.send().promise;
                self.forward_answer(generation, result_sender, async move {
                    Update::read(promise.await?.get()?.get_update()?)
                });
            }
            Call::Gossip {
                entries,
                result_sender,
            } => {
                let mut request = client.gossip_request();
                request.get().set_instance(self.own_id);
                request.get().set_entries(&entries);
                let promise = request.send().promise;
                self.forward_answer(generation, result_sender, async move {
                    Ok(promise.await?.get()?.get_entries()?.to_vec())
                });
            }
        }
    }

    /// Sends the answer or the failure of a call to its caller.
    fn forward_answer<T: 'static>(
        self: &Rc<Self>,
        generation: u64,
        result_sender: ResultSender<T>,
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
                link.disconnect(generation);
            }
            drop(result_sender.send(result.map_err(Error::NoAnswer)));
        });
    }
}
