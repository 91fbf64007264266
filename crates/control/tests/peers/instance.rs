use {
    super::helpers::{LIMIT, Nobody, caller, follower, instance, works},
    control::{
        instance::{Exchange, Query, WorkerView},
        peers::{Handler, Peers, Reply},
        state::{Answer, Command},
    },
    futures::FutureExt,
    model::{
        place::Site,
        worker::{Announcement, Worker},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time,
    wire::{Update, Verdict},
};

async fn until(what: &str, satisfied: impl Fn() -> bool) {
    let start = Instant::now();
    while !satisfied() {
        assert!(start.elapsed() < LIMIT, "not seen: {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a request that runs twice: two requests with one key and content reach an instance in the
/// same millisecond.
#[tokio::test(flavor = "multi_thread")]
async fn two_claims_of_the_same_millisecond_are_not_one() {
    let folder = TempDir::new().unwrap();
    let (instance, _) = instance(&folder);
    let claim = Command::Claim {
        account: "firm-a".into(),
        key: "k".into(),
        digest: 1,
        instance: 1,
        incarnation: 1,
        at_ms: 1000,
    };
    let first = instance.propose("north", &claim).await.unwrap();
    let second = instance.propose("north", &claim).await.unwrap();
    assert_eq!(first, Answer::Granted);
    assert!(matches!(second, Answer::Claimed(_)), "{second:?}");
    instance.stop();
}

/// Guards against a list without the workers that a new leader has not heard of yet: it looked complete, and an order
/// about a missing worker was refused for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_lists_no_workers_before_it_knows_them() {
    let folder = TempDir::new().unwrap();
    let (instance, address) = instance(&folder);
    works(&caller(address)).await;
    let announcer = instance.clone();
    let announcements = tokio::spawn(async move {
        time::sleep(Duration::from_millis(300)).await;
        for sequence in 1.. {
            announcer.hear_worker(announcement(sequence)).unwrap();
            time::sleep(Duration::from_millis(100)).await;
        }
    });
    let start = Instant::now();
    let listed: Vec<WorkerView> = loop {
        match instance.query("north", &Query::Workers).await {
            Ok(listed) => break listed,
            Err(error) => assert!(start.elapsed() < LIMIT, "{error}"),
        }
    };
    assert_eq!(listed.len(), 1);
    announcements.abort();
    instance.stop();
}

fn announcement(sequence: u64) -> Announcement {
    Announcement {
        worker: Worker {
            name: "w1".into(),
            site: Site {
                region: "north".into(),
                data_centre: "north-a".into(),
            },
            rack: "r1".into(),
            accelerators: 8,
            cpus: 8,
            memory_mb: 8000,
            address: "127.0.0.1:9".into(),
        },
        sequence,
        clock_ms: sequence,
        tasks: Vec::new(),
    }
}

/// A config leader that gives leases with a configuration, and later with bytes that are none.
struct Leader {
    garbled: AtomicBool,
}

impl Handler for Leader {
    fn deliver(&self, _: &str, _: u64, _: Vec<Vec<u8>>) {}

    fn propose(&self, _: &str, _: &[u8]) -> Reply<Verdict> {
        async { Verdict::NotLeader(None) }.boxed()
    }

    fn query(&self, _: &str, _: &[u8]) -> Reply<Verdict> {
        async { Verdict::NotLeader(None) }.boxed()
    }

    fn follow(&self, _: u64, _: u64, _: u64) -> Reply<Update> {
        let config = match self.garbled.load(Ordering::Relaxed) {
            true => b"{\"number\": \"two\"}".to_vec(),
            false => serde_json::to_vec(&model::config::Config::default()).unwrap(),
        };
        let update = Update::Current {
            lease: Duration::from_secs(2),
            config: Some(config),
            drained: false,
        };
        async { update }.boxed()
    }

    fn report(&self, _: &str, _: u64, _: &[u8]) -> Reply<Verdict> {
        async { Verdict::NotLeader(None) }.boxed()
    }

    fn gossip(&self, _: u64, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }
}

/// Guards against an instance that goes on admitting under an old configuration because it can't read the
/// newer one.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_configuration_extends_no_lease() {
    let peers = Peers::bind(
        1,
        "127.0.0.1:0".parse().unwrap(),
        [],
        Duration::from_secs(2),
    )
    .unwrap();
    let garbled = AtomicBool::new(false);
    let leader = Arc::new(Leader { garbled });
    peers.set_handler(leader.clone());
    let instance = follower(peers.address(), Arc::new(Nobody));
    until("a lease", || instance.current().is_some()).await;
    leader.garbled.store(true, Ordering::Relaxed);
    until("the end of the lease", || instance.current().is_none()).await;
    time::sleep(Duration::from_secs(2)).await;
    assert!(instance.current().is_none());
    instance.stop();
}

/// Counts the reports of demand that are answered.
#[derive(Default)]
struct Reporter {
    answered: AtomicU64,
}

impl Exchange for Reporter {
    fn gossip(&self) -> Vec<(u64, Vec<u8>)> {
        Vec::new()
    }

    fn merge(&self, _: &[u8]) {}

    fn demand(&self, _: &str) -> Vec<u8> {
        b"demand".to_vec()
    }

    fn grant(&self, _: &str, _: &[u8], _: u64, _: Instant) -> Vec<u8> {
        Vec::new()
    }

    fn granted(&self, _: &[u8]) {
        self.answered.fetch_add(1, Ordering::SeqCst);
    }

    fn counts(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Guards against shares that are not handed back because an instance ends before its next report is due.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_reports_at_once() {
    let folder = TempDir::new().unwrap();
    let (leader, address) = instance(&folder);
    let reporter = Arc::new(Reporter::default());
    let answered = || reporter.answered.load(Ordering::SeqCst);
    let leaving = follower(address, reporter.clone());
    until("an answered report", || answered() > 0).await;
    let before = answered();
    until("another one, so that the next is not due soon", || {
        answered() > before
    })
    .await;
    let before = answered();
    leaving.shutdown().await;
    assert!(answered() > before, "no report before the end");
    leader.stop();
}
