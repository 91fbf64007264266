//! Calls while some instances do not answer.

use {
    futures::FutureExt,
    gate::{
        Client, Outcome, Timeouts,
        call::{Reply, Request},
    },
    model::clock::System,
    peers::{Handler, Peers},
    roster::IdResolver,
    std::{
        net::{SocketAddr, SocketAddrV4, TcpListener},
        sync::Arc,
        time::{Duration, Instant},
    },
    wire::{Update, Verdict},
};

/// Timeout of a connection. A call that ends much sooner did not wait for the frozen instance.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers every call.
struct Leader;

impl Handler for Leader {
    fn deliver(&self, _: &str, _: u64, _: Vec<Vec<u8>>) {}

    fn propose(&self, _: &str, _: &[u8]) -> peers::Reply<Verdict> {
        let bytes = postcard::to_stdvec(&Reply::Done).unwrap();
        async { Verdict::Answer(bytes) }.boxed()
    }

    fn query(&self, _: &str, _: &[u8]) -> peers::Reply<Verdict> {
        async { Verdict::NotLeader(None) }.boxed()
    }

    fn follow(&self, _: u64, _: u64, _: u64) -> peers::Reply<Update> {
        async { Update::NotLeader(None) }.boxed()
    }

    fn report(&self, _: &str, _: u64, _: &[u8]) -> peers::Reply<Verdict> {
        async { Verdict::NotLeader(None) }.boxed()
    }

    fn gossip(&self, _: u64, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!(),
    }
}

fn bind() -> Peers {
    let address = "127.0.0.1:0".parse().unwrap();
    Peers::bind_with_resolver(1, address, Arc::new(IdResolver), CONNECTION_TIMEOUT).unwrap()
}

/// Guards against calls that wait for a frozen leader until the connection times out although another leader has been
/// elected. The frozen instance accepts the connection and never answers.
#[tokio::test]
async fn a_frozen_leader_does_not_hold_up_calls() {
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let frozen = roster::id_of(v4(frozen.local_addr().unwrap()));
    let leader = bind();
    leader.set_handler(Arc::new(Leader));
    let client = Client::open(bind(), Arc::new(System));
    client
        .targets()
        .set_seeds(vec![frozen, roster::id_of(v4(leader.address()))]);
    client.targets().set_leader(Some(frozen));
    let start = Instant::now();
    let outcome = client.call(&Request::Ping, CONNECTION_TIMEOUT).await;
    assert_eq!(outcome, Outcome::Answered(Reply::Done));
    assert!(
        start.elapsed() < CONNECTION_TIMEOUT / 2,
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a "not run" outcome for a call that may have reached an instance.
#[tokio::test]
async fn a_call_without_an_answer_is_unknown() {
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::open(bind(), Arc::new(System));
    client
        .targets()
        .set_seeds(vec![roster::id_of(v4(frozen.local_addr().unwrap()))]);
    let outcome = client
        .call(&Request::Ping, Duration::from_millis(600))
        .await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    let client = Client::open(bind(), Arc::new(System));
    let outcome = client
        .call(&Request::Ping, Duration::from_millis(100))
        .await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
}

/// Guards against callers that use up their retries because each call ends early with an unknown outcome. Only a call
/// that was certainly not carried out may end early.
#[tokio::test]
async fn only_refusals_are_early() {
    let timeouts = Timeouts {
        not_run: Duration::from_millis(50),
        unknown: Duration::from_millis(600),
    };
    let client = Client::open(bind(), Arc::new(System));
    let start = Instant::now();
    let outcome = client.call(&Request::Ping, timeouts).await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    assert!(start.elapsed() < timeouts.unknown, "{:?}", start.elapsed());
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let frozen = roster::id_of(v4(frozen.local_addr().unwrap()));
    client.targets().set_seeds(vec![frozen]);
    let start = Instant::now();
    let outcome = client.call(&Request::Ping, timeouts).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    assert!(start.elapsed() >= timeouts.unknown, "{:?}", start.elapsed());
}
