use {
    control::{
        instance::{Exchange, Instance, Place, Setup},
        jobs,
        peers::Peers,
        state::Command,
        worker::{Error, Link},
    },
    futures::{FutureExt, future::BoxFuture},
    indexmap::IndexMap,
    model::{
        clock::System,
        place::Site,
        worker::{Answer, Order},
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time,
    wire::Verdict,
};

/// Far above what any condition needs, so that a slow machine does not change the verdict.
pub const LIMIT: Duration = Duration::from_secs(60);

const TIMEOUT: Duration = Duration::from_secs(20);

pub struct Nobody;

impl Link for Nobody {
    fn order(&self, _: &str, _: Vec<Order>) -> BoxFuture<'static, Result<Answer, Error>> {
        async { Err(Error::NotSent("no worker".into())) }.boxed()
    }
}

impl Exchange for Nobody {
    fn gossip(&self) -> Vec<(u64, Vec<u8>)> {
        Vec::new()
    }

    fn merge(&self, _: &[u8]) {}

    fn demand(&self, _: &str) -> Vec<u8> {
        Vec::new()
    }

    fn grant(&self, _: &str, demand: &[u8], _: u64, _: Instant) -> Vec<u8> {
        demand.to_vec()
    }

    fn granted(&self, _: &[u8]) {}

    fn counts(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// A free loopback address.
fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts instance `id` of two; the only member of both groups is instance 1.
fn spawn(
    id: u64,
    addresses: [SocketAddr; 2],
    folder: Option<&TempDir>,
    exchange: Arc<dyn Exchange>,
) -> Arc<Instance> {
    let place = |name: &str, peers| Place {
        name: name.into(),
        site: Site {
            region: "north".into(),
            data_centre: "north-a".into(),
        },
        peers,
    };
    let [first, second] = addresses;
    let groups = ["config", "north"].map(|name| (name.to_owned(), vec![1]));
    let setup = Setup {
        id,
        incarnation: 1,
        instances: IndexMap::from([(1, place("a1", first)), (2, place("a2", second))]),
        groups: IndexMap::from(groups),
        homes: IndexMap::from([("north".to_owned(), "north".to_owned())]),
        folder: folder.map(|folder| folder.path().to_owned()),
        bootstrap: true,
        quorum: quorum::Settings::default(),
        jobs: jobs::Settings::default(),
        config_lease: Duration::from_secs(5),
        call_timeout: Duration::from_secs(2),
        link: Arc::new(Nobody),
        exchange,
        observer: Arc::new(()),
        clock: Arc::new(System),
    };
    Instance::spawn(setup).unwrap()
}

/// Instance 1, a control instance; instance 2 is played by the test.
pub fn instance(folder: &TempDir) -> (Arc<Instance>, SocketAddr) {
    let address = free();
    let addresses = [address, free()];
    let instance = spawn(1, addresses, Some(folder), Arc::new(Nobody));
    (instance, address)
}

/// Instance 2, without a disk; instance 1 is played by the test at `leader`.
pub fn follower(leader: SocketAddr, exchange: Arc<dyn Exchange>) -> Arc<Instance> {
    spawn(2, [leader, free()], None, exchange)
}

/// Peers of instance 2, which calls instance 1 at `address`.
pub fn caller(address: SocketAddr) -> Peers {
    Peers::bind(2, "127.0.0.1:0".parse().unwrap(), [(1, address)], TIMEOUT).unwrap()
}

pub fn drain() -> Vec<u8> {
    let command = Command::DrainWorker {
        worker: "w1".into(),
        drained: true,
    };
    command.encode()
}

/// Waits until the instance commits a command.
pub async fn works(peers: &Peers) {
    let start = Instant::now();
    loop {
        let answer = peers.propose(1, "north", &drain()).await;
        if matches!(answer, Ok(Verdict::Answer(_))) {
            return;
        }
        assert!(
            start.elapsed() < LIMIT,
            "no command is committed: {answer:?}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}
