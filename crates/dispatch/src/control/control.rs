use {
    super::{Error, Replica, Setup, handler::Handler, membership},
    crate::{
        leader::{Driver, Input, SpeedMemory, StartMemory},
        time::MedianClock,
    },
    gate::{
        Client, Outcome,
        call::{Reply, Request},
    },
    indexmap::IndexMap,
    model::clock::Clock,
    peers::Peers,
    plan::engine::Event,
    roster::{Contact, IdResolver},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::mpsc,
    wire::Verdict,
    work::id,
};

/// Timeout of calls to other instances. A commit across regions on a slow disk takes a few hundred milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of upstreams up to which all send their heartbeats to the leader. Each costs the leader a connection and
/// about 0.1 ms per heartbeat.
const MAX_DIRECT_UPSTREAMS: usize = 400;

/// Time for a new leader to take over before this instance stops its replica.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(400);

/// A running control instance.
#[derive(Clone)]
pub struct Control {
    pub(super) shared: Arc<Shared>,
}

pub(super) struct Shared {
    pub id: u64,
    pub replica: Replica,
    pub client: Client,
    pub peers: Peers,
    pub clock: Arc<dyn Clock>,
    pub median_clock: Arc<Mutex<MedianClock>>,
    pub contacts: Mutex<IndexMap<u64, Contact>>,
    pub roster: roster::Settings,
    /// Time for which operators may send an order again.
    pub order_resend: Duration,
    /// Start time of each upstream and the highest sequence of its heartbeats since then.
    pub sequences: Mutex<IndexMap<id::Upstream, (u64, u64)>>,
    /// Upstreams, with their start times, whose heartbeats this instance acknowledged and has not yet reported to the
    /// leader.
    pub acknowledged: Mutex<IndexMap<id::Upstream, u64>>,
    /// Speeds of upstreams that the latest leader has learned.
    pub speed_memory: Arc<Mutex<SpeedMemory>>,
    pub start_memory: Arc<Mutex<StartMemory>>,
    pub inputs: mpsc::UnboundedSender<Input>,
}

impl Control {
    /// Starts the instance. Must be called within a Tokio runtime.
    pub fn spawn(setup: Setup) -> Result<Control, Error> {
        let id = roster::id_of(setup.address);
        let peers = Peers::bind_with_resolver(
            id,
            SocketAddr::V4(setup.address),
            Arc::new(IdResolver),
            CALL_TIMEOUT,
        )?;
        let seeds: Vec<u64> = setup
            .seeds
            .iter()
            .map(|seed| roster::id_of(*seed))
            .collect();
        let initial_members = match setup.first_start {
            true => seeds.clone(),
            false => Vec::new(),
        };
        let clock = setup.clock.clone();
        let replica = Replica::new(
            id,
            setup.folder,
            initial_members,
            peers.clone(),
            clock.clone(),
        );
        let client = Client::open(peers.clone(), clock.clone());
        client.targets().set_seeds(seeds);
        let median_clock = Arc::new(Mutex::new(MedianClock::new(clock.now())));
        let speed_memory = Arc::<Mutex<SpeedMemory>>::default();
        let start_memory = Arc::<Mutex<StartMemory>>::default();
        let (inputs, events) = mpsc::unbounded_channel();
        let control = Control {
            shared: Arc::new(Shared {
                id,
                replica: replica.clone(),
                client,
                peers: peers.clone(),
                clock: clock.clone(),
                median_clock: median_clock.clone(),
                contacts: Mutex::default(),
                roster: roster::Settings::tolerating(setup.tolerated_losses),
                order_resend: setup.plan.order_resend,
                sequences: Mutex::default(),
                acknowledged: Mutex::default(),
                speed_memory: speed_memory.clone(),
                start_memory: start_memory.clone(),
                inputs: inputs.clone(),
            }),
        };
        peers.set_handler(Arc::new(Handler(control.clone())));
        let driver = Driver {
            replica,
            upstream_client: setup.upstream_client,
            clock,
            median_clock,
            speed_memory,
            start_memory,
            settings: setup.plan,
            inputs,
            observer: setup.observer,
        };
        tokio::spawn(driver.run(events));
        tokio::spawn(membership::run(control.clone()));
        Ok(control)
    }

    /// Answers a request if this instance leads, otherwise forwards it to the leader. A follower acknowledges
    /// heartbeats without changes itself.
    pub async fn call(&self, request: Request, timeout: Duration) -> Outcome {
        if self.shared.replica.leading_term().is_some() {
            match self.answer(request.clone()).await {
                Verdict::Answer(bytes) => {
                    return match postcard::from_bytes(&bytes) {
                        Ok(reply) => Outcome::Answered(reply),
                        Err(error) => Outcome::Unknown(error.to_string()),
                    };
                }
                Verdict::Unknown(reason) => return Outcome::Unknown(reason),
                Verdict::NotRun(reason) => return Outcome::NotRun(reason),
                Verdict::NotLeader(_) => {}
            }
        }
        if let Request::Heartbeat {
            upstream, sequence, ..
        } = &request
            && self.acknowledge_as_follower(upstream, *sequence)
        {
            return Outcome::Answered(Reply::Done);
        }
        let leader = self.shared.replica.leader();
        if let Some(leader) = leader.filter(|leader| *leader != self.shared.id) {
            self.shared.client.targets().set_leader(Some(leader));
        }
        self.shared.client.call(&request, timeout).await
    }

    /// The leader's id, if known.
    pub fn leader(&self) -> Option<u64> {
        self.shared.replica.leader()
    }

    /// Id of the instance to which an upstream should send its heartbeats, if one is known.
    ///
    /// A small number of upstreams report to the leader. A larger number is spread over the voters, because each
    /// instance has a limited number of file descriptors.
    pub fn heartbeat_target(&self, upstream: &id::Upstream) -> Option<u64> {
        let view = self.shared.replica.view();
        let known = self.shared.replica.state()?.registry().upstream_count();
        if known <= MAX_DIRECT_UPSTREAMS || view.members.voters.is_empty() {
            return view.leader;
        }
        let hash = upstream.as_str().bytes().fold(0_usize, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(usize::from(byte))
        });
        let voter = view.members.voters[hash % view.members.voters.len()];
        Some(voter.id)
    }

    /// Replaces the control instances from the settings, which are called while the leader is unknown.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = std::net::SocketAddrV4>) {
        let seeds = seeds.into_iter().map(roster::id_of).collect();
        self.shared.client.targets().set_seeds(seeds);
    }

    /// The replica of this instance.
    pub fn replica(&self) -> &Replica {
        &self.shared.replica
    }

    /// Transfers leadership, if this instance leads, and stops the replica.
    pub async fn shutdown(&self) {
        if self.shared.replica.leading_term().is_some() {
            self.shared.replica.transfer_leadership();
            tokio::time::sleep(LEADERSHIP_TRANSFER_TIME).await;
        }
        self.shared.replica.stop();
    }

    /// Sends an event to the engine, which then runs without waiting for its next tick.
    pub(super) fn wake(&self, event: Event) {
        let input = Input {
            term: 0,
            event,
            queued_at: self.shared.clock.now(),
        };
        drop(self.shared.inputs.send(input));
    }

    pub(super) fn contacts(&self) -> MutexGuard<'_, IndexMap<u64, Contact>> {
        let contacts = self.shared.contacts.lock();
        contacts.unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn median_clock(&self) -> MutexGuard<'_, MedianClock> {
        let median_clock = self.shared.median_clock.lock();
        median_clock.unwrap_or_else(PoisonError::into_inner)
    }

    /// The median time of day in milliseconds since the Unix epoch.
    pub(super) fn time_ms(&self) -> u64 {
        self.median_clock().now_ms(self.shared.clock.now())
    }
}
