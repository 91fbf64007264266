use {
    super::{Error, Options},
    crate::{
        api,
        link::Http,
        metrics::{Metrics, Register},
        requests::{Claims, Exchange, Levels, Members, Observer, Slot},
    },
    control::{
        instance::{Instance, Place, Setup},
        jobs,
    },
    entry::{Deps, Desk, Leftover},
    indexmap::IndexMap,
    route::{Event, Router, member::Peer},
    settings::Settings,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Wait for the answer of another instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    instance: Arc<Instance>,
    api: api::Server,
    requests: entry::Server,
    drain_bound: Duration,
}

impl Daemon {
    /// Opens the disk and all listeners. Must be called on a tokio runtime.
    pub async fn spawn(settings: &Settings, options: Options) -> Result<Daemon, Error> {
        let mut register = Register::default();
        let slot = Slot::default();
        let clock = options.clock.clone();
        let incarnation = clock.wall_ms();
        let own = &settings.instance;
        let mut routing = route::Settings::new(own.id, incarnation, own.site.clone());
        routing.max_deadline = settings.requests.max_deadline;
        let desk = Desk::new(Router::new(routing), clock.clone(), Arc::new(slot.clone()));
        let others = settings
            .instances
            .values()
            .filter(|member| member.id != own.id);
        let peers = others.map(|member| Peer {
            id: member.id,
            region: member.site.region.clone(),
        });
        desk.observe(Event::Peers(peers.collect()));
        let levels = Arc::new(Levels::new(&own.name, slot.clone(), clock));
        let exchange = Exchange::new(
            desk.clone(),
            settings.homes.clone(),
            settings
                .instances
                .values()
                .map(|member| member.id)
                .collect(),
            settings.requests.max_deadline,
            levels.clone(),
        );
        let setup = setup(
            settings,
            &options,
            incarnation,
            Arc::new(exchange),
            levels.clone(),
        );
        let instance = Instance::spawn(setup)?;
        slot.set(instance.clone());
        let deps = Deps {
            desk: desk.clone(),
            claims: Arc::new(Claims::new(slot)),
            observer: Arc::new(Observer::new(&mut register, levels)?),
            settings: entry::Settings {
                max_deadline: settings.requests.max_deadline,
                max_body: settings.requests.max_body,
                drain_settle: settings.requests.drain_settle,
                instances: settings.instances.len(),
                max_connections: settings.requests.max_connections,
                caller_stall: settings.requests.caller_stall,
                replay_memory: settings.requests.body_memory,
                ..entry::Settings::default()
            },
        };
        let requests = entry::Server::bind(settings.listen.requests, deps).await?;
        for collector in requests.meter().collectors() {
            register.add_boxed(collector)?;
        }
        let metrics = Metrics::new(register, desk.clone())?;
        let context = api::Context {
            instance: instance.clone(),
            members: Arc::new(Members::new(desk)),
            metrics,
            draining: AtomicBool::new(false),
        };
        let api = api::Server::bind(
            settings.listen.api,
            &settings.api,
            requests.meter().clone(),
            context,
        )
        .await
        .map_err(Error::Api)?;
        log::info!(
            "event=started instance={} api={} requests={} version={} commit={}",
            own.name,
            api.address(),
            requests.address(),
            build::CURRENT.version(),
            build::CURRENT.commit()
        );
        Ok(Daemon {
            instance,
            api,
            requests,
            drain_bound: settings.requests.drain_bound,
        })
    }

    /// Where the API listens.
    pub fn api(&self) -> SocketAddr {
        self.api.address()
    }

    /// Where requests are accepted.
    pub fn requests(&self) -> SocketAddr {
        self.requests.address()
    }

    /// The metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.api.context().metrics
    }

    /// The instance.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Shuts down without interrupting a request: readiness ends, the listener closes after the settle
    /// time, requests in flight finish, and leadership is handed over. Returns what did not finish.
    pub async fn shutdown(self) -> Vec<Leftover> {
        self.api.context().draining.store(true, Ordering::Relaxed);
        let left = self.requests.drain(self.drain_bound).await;
        for request in &left {
            log::warn!(
                "event=request_left caller={} target=\"{}\" age_ms={}",
                request.caller,
                request.target,
                request.age.as_millis()
            );
        }
        self.instance.shutdown().await;
        if let Err(error) = self.api.close().await {
            log::warn!("event=api_close_failed error=\"{error}\"");
        }
        left
    }

    /// Ends at once, as a crash would, without draining anything.
    pub fn abort(self) {
        self.instance.stop();
    }
}

fn setup(
    settings: &Settings,
    options: &Options,
    incarnation: u64,
    exchange: Arc<Exchange>,
    levels: Arc<Levels>,
) -> Setup {
    let timing = &settings.timing;
    let instances: IndexMap<u64, Place> = settings
        .instances
        .iter()
        .map(|(name, member)| {
            let place = Place {
                name: name.clone(),
                site: member.site.clone(),
                peers: member.peers,
            };
            (member.id, place)
        })
        .collect();
    Setup {
        id: settings.instance.id,
        incarnation,
        instances,
        groups: settings.groups.clone(),
        homes: settings.homes.clone(),
        folder: settings.data.as_ref().map(|data| data.folder.clone()),
        bootstrap: options.bootstrap,
        quorum: quorum::Settings {
            heartbeat_interval: timing.heartbeat,
            election_timeout_min: timing.election_timeout,
            election_timeout_max: timing.election_timeout_max(),
            ..quorum::Settings::default()
        },
        jobs: jobs::Settings {
            lease: timing.worker_lease,
            ..jobs::Settings::default()
        },
        config_lease: timing.configuration_lease,
        call_timeout: CALL_TIMEOUT,
        observer: levels,
        link: Arc::new(Http::new()),
        exchange,
        clock: options.clock.clone(),
    }
}
