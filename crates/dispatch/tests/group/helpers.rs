use {
    dispatch::{Control, Observer, Permit, Setup, UpstreamClient},
    futures::{FutureExt, future::BoxFuture},
    gate::call::Request,
    model::clock::Boot,
    plan::engine::{Failure, Hold, Listing, Settings, Start, Stop, Target},
    std::{
        net::{SocketAddrV4, TcpListener},
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    work::{id, job::Resources, upstream::Upstream},
};

/// Far longer than a group needs to form, so that a busy machine does not fail the test.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Fails all calls.
struct Unreachable;

fn unreachable_upstream<T>() -> Result<T, Failure> {
    Err(Failure::NotSent("no upstream".into()))
}

impl UpstreamClient for Unreachable {
    fn hold(
        &self,
        _: Target,
        _: u64,
        _: Arc<dyn Permit>,
        _: Hold,
    ) -> BoxFuture<'static, Result<Listing, Failure>> {
        async { unreachable_upstream() }.boxed()
    }

    fn start(
        &self,
        _: Target,
        _: u64,
        _: Arc<dyn Permit>,
        _: Start,
    ) -> BoxFuture<'static, Result<Option<u64>, Failure>> {
        async { unreachable_upstream() }.boxed()
    }

    fn stop(
        &self,
        _: Target,
        _: u64,
        _: Arc<dyn Permit>,
        _: Stop,
    ) -> BoxFuture<'static, Result<Option<u64>, Failure>> {
        async { unreachable_upstream() }.boxed()
    }

    fn advise(
        &self,
        _: id::Task,
        _: Vec<id::Upstream>,
    ) -> BoxFuture<'static, Result<Vec<(id::Upstream, String)>, Failure>> {
        async { unreachable_upstream() }.boxed()
    }
}

/// Ignores all times.
struct Unobserved;

impl Observer for Unobserved {
    fn record_step(&self, _: Duration, _: Duration) {}

    fn record_proposal(&self, _: Duration) {}
}

pub fn addresses(count: usize) -> Vec<SocketAddrV4> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| match listener.local_addr().unwrap() {
            std::net::SocketAddr::V4(address) => address,
            std::net::SocketAddr::V6(_) => unreachable!(),
        })
        .collect()
}

pub fn spawn(
    address: SocketAddrV4,
    seeds: &[SocketAddrV4],
    folder: &Path,
    first_start: bool,
) -> Control {
    Control::spawn(Setup {
        address,
        seeds: seeds.to_vec(),
        first_start,
        folder: folder.to_owned(),
        tolerated_losses: 2,
        plan: Settings::default(),
        clock: Arc::new(Boot::open()),
        upstream_client: Arc::new(Unreachable),
        observer: Arc::new(Unobserved),
    })
    .unwrap()
}

pub async fn until(what: &str, mut satisfied: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !satisfied().await {
        assert!(start.elapsed() < FORMATION_TIMEOUT, "not seen: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

pub fn heartbeat(sequence: u64, draining: bool) -> Request {
    Request::Heartbeat {
        upstream: Box::new(Upstream {
            id: "i-1".into(),
            born_ms: 1,
            address: "127.0.0.1:9".into(),
            data_centre: "dc".into(),
            service: "pool".into(),
            capacity: Resources::default(),
            labels: vec![],
            rack: String::new(),
            draining,
            leaving_ms: None,
        }),
        sequence,
        clock_ms: None,
    }
}
