use {
    super::cluster::{Cluster, LIMIT},
    http::Method,
    rustix::process::Signal,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// The instance that is shut down; it has no disk and stands in the region of the upstream.
const LEAVING: usize = 4;

/// Callers that always have a request under way: three for each slot.
const CALLERS: usize = 24;

/// Time from the end of the instance until all slots must be in use: two reports of 250 ms for the shares to
/// move, and time for a busy machine. Shares that are not handed back stay unused for longer than the longest
/// deadline, 60 s.
const HANDBACK: Duration = Duration::from_secs(3);

/// Guards against shares that stay charged to an instance after its graceful shutdown, so that the slots idle
/// although requests wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_hands_its_shares_back() {
    let mut cluster = Cluster::spawn(5, 3).await;
    let platform = cluster.platform(0, 1).await;
    cluster.first_note().await;
    let upstream = platform.upstreams[0].clone();
    let left = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let (client, left) = (cluster.client.clone(), left.clone());
        let addresses = cluster.deployment.requests();
        callers.spawn(async move {
            loop {
                let mut index = number % addresses.len();
                if index == LEAVING && left.load(Ordering::Relaxed) {
                    index = number % 3;
                }
                let headers = [
                    ("x-client-account", "firm-a"),
                    ("x-service", "fit"),
                    ("x-deadline-ms", "20000"),
                    ("x-fake-delay-ms", "150"),
                ];
                let answer = client
                    .call_within(LIMIT, addresses[index], Method::PUT, "/fit", &headers, "x")
                    .await;
                if !answer.is_ok_and(|answer| answer.status == 200) {
                    time::sleep(Duration::from_millis(50)).await;
                }
            }
        });
    }
    all_used(&upstream, LIMIT).await;
    // The callers leave first, as with a balancer, and the instance is idle when it ends.
    left.store(true, Ordering::Relaxed);
    cluster.signal(LEAVING, Signal::TERM);
    assert_eq!(cluster.ended(LEAVING).await, Some(0));
    time::sleep(HANDBACK).await;
    all_used(&upstream, Duration::from_secs(5)).await;
}

/// Waits until all slots have been in use in five samples in a row.
async fn all_used(upstream: &fake::upstream::Upstream, limit: Duration) {
    let start = Instant::now();
    let (mut row, mut most) = (0, 0);
    while row < 5 {
        let busy = upstream.busy();
        most = busy.max(most);
        row = if busy >= 8 { row + 1 } else { 0 };
        assert!(
            start.elapsed() < limit,
            "at most {most} of 8 slots were in use"
        );
        time::sleep(Duration::from_millis(5)).await;
    }
}
