use {
    super::helpers::{LIMIT, follower, instance},
    control::{
        peers::{Handler, Peers, Reply},
        state::{Answer, Command},
    },
    futures::FutureExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
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
    let instance = follower(peers.address());
    until("a lease", || instance.current().is_some()).await;
    leader.garbled.store(true, Ordering::Relaxed);
    until("the end of the lease", || instance.current().is_none()).await;
    time::sleep(Duration::from_secs(2)).await;
    assert!(instance.current().is_none());
    instance.stop();
}
