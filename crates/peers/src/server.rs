use {
    super::Handler,
    capnp::message::ReaderOptions,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty},
    futures::AsyncReadExt,
    std::{
        rc::Rc,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{net::TcpListener, task::spawn_local, time},
    tokio_util::compat::TokioAsyncReadCompatExt,
    wire::{Update, Verdict, peer_capnp::peer},
};

/// Largest message that is read from another instance, in 8-byte words (16 MiB).
const MAX_MESSAGE_WORDS: usize = 2 * 1024 * 1024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Deepest nesting of structs and lists in a message that is read from another instance.
const MAX_MESSAGE_DEPTH: i32 = 16;

/// Limits on every message that is read from another instance, both calls and answers.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(MAX_MESSAGE_WORDS))
        .nesting_limit(MAX_MESSAGE_DEPTH);
    options
}

/// Passes calls from other instances to the handler, once one is set.
pub(super) struct Server {
    pub(super) handler: Arc<OnceLock<Arc<dyn Handler>>>,
}

/// Accepts connections and spawns a task for each, until this future is dropped.
pub(super) async fn accept(listener: TcpListener, handler: Arc<OnceLock<Arc<dyn Handler>>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // While no file descriptor is free, accept fails at once, and retrying without a delay
            // would use a whole core.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let (reader, writer) = stream.compat().split();
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            rpc_twoparty_capnp::Side::Server,
            reader_options(),
        );
        let server: peer::Client = capnp_rpc::new_client(Server {
            handler: handler.clone(),
        });
        spawn_local(RpcSystem::new(Box::new(network), Some(server.client)));
    }
}

impl Server {
    fn handler(&self) -> Option<&Arc<dyn Handler>> {
        self.handler.get()
    }
}

/// Verdict on calls that arrive before the handler is set.
fn starting_verdict() -> Verdict {
    Verdict::NotRun("the instance is starting".into())
}

impl peer::Server for Server {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let mut messages = Vec::new();
        for message in params.get_messages()?.iter() {
            messages.push(message?.to_vec());
        }
        if let Some(handler) = self.handler() {
            handler.deliver(params.get_group()?.to_str()?, params.get_sender(), messages);
        }
        Ok(())
    }

    async fn propose(
        self: Rc<Self>,
        params: peer::ProposeParams,
        mut results: peer::ProposeResults,
    ) -> capnp::Result<()> {
        let verdict = match self.handler() {
            Some(handler) => {
                let params = params.get()?;
                let reply = handler.propose(params.get_group()?.to_str()?, params.get_command()?);
                reply.await
            }
            None => starting_verdict(),
        };
        verdict.write(results.get().init_verdict());
        Ok(())
    }

    async fn query(
        self: Rc<Self>,
        params: peer::QueryParams,
        mut results: peer::QueryResults,
    ) -> capnp::Result<()> {
        let verdict = match self.handler() {
            Some(handler) => {
                let params = params.get()?;
                let reply = handler.query(params.get_group()?.to_str()?, params.get_query()?);
                reply.await
            }
            None => starting_verdict(),
        };
        verdict.write(results.get().init_verdict());
        Ok(())
    }

    async fn follow(
        self: Rc<Self>,
        params: peer::FollowParams,
        mut results: peer::FollowResults,
    ) -> capnp::Result<()> {
        let update = match self.handler() {
            Some(handler) => {
                let params = params.get()?;
                handler
                    .follow(
                        params.get_instance(),
                        params.get_incarnation(),
                        params.get_applied(),
                    )
                    .await
            }
            None => Update::NotLeader(None),
        };
        update.write(results.get().init_update());
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> capnp::Result<()> {
        let verdict = match self.handler() {
            Some(handler) => {
                let params = params.get()?;
                let group = params.get_group()?.to_str()?;
                handler
                    .report(group, params.get_instance(), params.get_report()?)
                    .await
            }
            None => starting_verdict(),
        };
        verdict.write(results.get().init_verdict());
        Ok(())
    }

    async fn gossip(
        self: Rc<Self>,
        params: peer::GossipParams,
        mut results: peer::GossipResults,
    ) -> capnp::Result<()> {
        if let Some(handler) = self.handler() {
            let params = params.get()?;
            let entries = handler.gossip(params.get_instance(), params.get_entries()?);
            results.get().set_entries(&entries);
        }
        Ok(())
    }
}
