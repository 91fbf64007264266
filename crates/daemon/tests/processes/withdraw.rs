use {
    super::cluster::{Cluster, LIMIT},
    fake::{
        client::{Client, Fault},
        platform::Platform,
    },
    http::Method,
    model::place::Site,
    rustix::process::Signal,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// Time for which each request runs.
const SERVICE_MS: &str = "700";

fn site(region: &str, data_centre: &str) -> Site {
    Site {
        region: region.into(),
        data_centre: data_centre.into(),
    }
}

/// Sends one request; returns its status and whether it was refused with `x-ran: no`.
async fn send(client: Client, address: SocketAddr, id: &str) -> Result<(u16, bool), Fault> {
    let headers = [
        ("x-client-account", "firm-a"),
        ("x-service", "fit"),
        ("x-class", "batch"),
        ("x-deadline-ms", "30000"),
        ("x-fake-delay-ms", SERVICE_MS),
        ("x-fake-id", id),
    ];
    let answer = client
        .call_within(LIMIT, address, Method::PUT, "/fit", &headers, "x")
        .await?;
    let no = answer.headers.get("x-ran").is_some_and(|ran| ran == "no");
    Ok((answer.status, no))
}

async fn send_to(cluster: &Cluster, index: usize, id: &str) -> Result<(u16, bool), Fault> {
    let address = cluster.deployment.requests()[index];
    send(cluster.client.clone(), address, id).await
}

/// Guards against a request that runs in a place after the note which withdraws that place is in force,
/// although it was queued there before, and against a running request that the note cuts.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_place_gets_nothing_new() {
    let cluster = Cluster::spawn(5, 3).await;
    let api = cluster.deployment.api();
    let north = Platform::spawn(&site("north", "north-a"), 0, 1, &api).await;
    let south = Platform::spawn(&site("south", "south-a"), 0, 1, &api).await;
    let (north, south) = (north.unwrap(), south.unwrap());
    let note = json!({
        "summary": "both regions",
        "add": { "firm-a": { "places": ["north", "south"] } },
    });
    let outcome = cluster.submit("both", 0, &note).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    for index in 0..cluster.deployment.len() {
        cluster
            .until(index, "/v1/config", |answer| answer.json()["number"] == 1)
            .await;
    }
    north.upstreams[0].record();
    // What runs in the north when the note comes still does when it is in force, however long that takes.
    north.upstreams[0].hold();
    // Instances 0, 1, 2 and 4 stand in the north. Each gets more requests than the upstreams have slots, so
    // that most are queued when the note comes.
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut number = 0;
    while north.upstreams[0].busy() < 4 {
        assert!(start.elapsed() < LIMIT, "the north upstream was never busy");
        for index in [0, 1, 2, 4] {
            number += 1;
            let id = number.to_string();
            let (client, address) = (cluster.client.clone(), cluster.deployment.requests()[index]);
            calls.spawn(async move {
                let (status, no) = send(client, address, &id).await.unwrap();
                (id, status, no)
            });
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    let note =
        json!({ "summary": "south only", "withdraw": { "places": { "firm-a": ["north"] } } });
    let outcome = cluster.submit("south", 1, &note).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    cluster
        .until(0, "/v1/notes/2/force", |answer| {
            answer.json()["in_force"] == true
        })
        .await;
    let in_force = Instant::now();
    let running = north.upstreams[0].busy();
    let left = calls.len();
    north.upstreams[0].release();
    while let Some(ended) = calls.join_next().await {
        let (id, status, no) = ended.unwrap();
        // Every request is answered by its upstream or told that it did not run.
        assert!(status == 200 || no, "request {id}: {status}");
        let ran = north.upstreams[0].runs().iter().any(|run| run.id == id);
        assert!(!(no && ran), "request {id} ran despite `x-ran: no`");
    }
    let late = north.upstreams[0]
        .runs()
        .iter()
        .filter(|run| run.began > in_force)
        .count();
    println!(
        "{number} requests, {left} unanswered and {running} running in the north when the note was in \
         force; south ran {}",
        south.upstreams[0].total()
    );
    assert_eq!(late, 0, "requests began in the withdrawn place");
    assert!(left > usize::from(running), "nothing was queued");
    assert!(running > 0, "nothing ran in the withdrawn place");
    let before = north.upstreams[0].total();
    for index in 0..cluster.deployment.len() {
        let answer = send_to(&cluster, index, "later").await.unwrap();
        assert_eq!(answer.0, 200);
    }
    assert_eq!(north.upstreams[0].total(), before);
}

/// Guards against an entry instance that goes on admitting when it cannot learn of notes any more.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_configuration_lease_nothing_is_admitted() {
    let cluster = Cluster::spawn(5, 3).await;
    let platform = cluster.platform(0, 1).await;
    cluster.first_note().await;
    for index in [3, 4] {
        served(&cluster, index).await;
    }
    for control in 0..3 {
        cluster.signal(control, Signal::STOP);
    }
    // The lease is 5 s and counts from before the last answer, so it has ended 5 s after the stop.
    time::sleep(Duration::from_secs(5)).await;
    let before = platform.upstreams[0].total();
    for _ in 0..10 {
        for index in [3, 4] {
            let answer = send_to(&cluster, index, "refused").await.unwrap();
            assert_eq!(answer, (503, true), "a{}", index + 1);
        }
    }
    assert_eq!(platform.upstreams[0].total(), before);
    for control in 0..3 {
        cluster.signal(control, Signal::CONT);
    }
    for index in [3, 4] {
        served(&cluster, index).await;
    }
}

/// Waits until an instance serves requests.
async fn served(cluster: &Cluster, index: usize) {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if let Ok((200, _)) = send_to(cluster, index, "served").await {
            return;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    panic!("a{} served nothing within {LIMIT:?}", index + 1);
}
