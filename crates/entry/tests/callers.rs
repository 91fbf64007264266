//! Callers that misuse HTTP, overload, and the drain.

mod common;

use {
    common::{Stage, raw, settings, status},
    entry::{Ended, Settings},
    fake::upstream::Behaviour,
    std::time::{Duration, Instant},
    tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet},
};

const HEAD: &str = "host: t\r\nconnection: close\r\nx-client-account: acme\r\nx-service: fit\r\n";

/// Guards against requests that this listener and an upstream could read differently (smuggling).
#[tokio::test]
async fn ambiguous_requests_are_refused() {
    let stage = Stage::new(1, 1).await;
    let cases = [
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "content-length: +4\r\n\r\nabcd",
        "content-length : 4\r\n\r\nabcd",
        "x-client-account: other\r\n\r\n",
        "x-service: other\r\n\r\n",
        "host: other\r\n\r\n",
        "connection: x-client-account\r\n\r\n",
    ];
    for case in cases {
        let answer = stage.raw(&format!("PUT / HTTP/1.1\r\n{HEAD}{case}")).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert_eq!(status(&answer), 400, "{case:?}: {answer}");
    }
    assert_eq!(stage.total(), 0);
}

/// Guards against heads and bodies that exhaust memory.
#[tokio::test]
async fn sizes_are_bounded() {
    let bounds = Settings {
        max_body: 1000,
        max_head: 16 << 10,
        ..settings()
    };
    let stage = Stage::with(1, 1, bounds).await;
    let many: String = (0..200).map(|number| format!("h{number}: x\r\n")).collect();
    let long = format!("h: {}\r\n", "x".repeat(32 << 10));
    for headers in [many, long] {
        let answer = stage
            .raw(&format!("GET / HTTP/1.1\r\n{HEAD}{headers}\r\n"))
            .await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert_eq!(status(&answer), 431, "{answer}");
    }
    let big = "x".repeat(2000);
    let answer = stage.request("PUT", "", &big).await;
    assert_eq!(status(&answer), 413, "{answer}");
    assert!(answer.contains("x-ran: no"), "{answer}");
    let chunked = format!(
        "PUT / HTTP/1.1\r\n{HEAD}transfer-encoding: chunked\r\n\r\n7d0\r\n{big}\r\n0\r\n\r\n"
    );
    let answer = String::from_utf8_lossy(&stage.raw(&chunked).await).into_owned();
    assert_eq!(status(&answer), 413, "{answer}");
    assert_eq!(stage.total(), 0, "a body beyond the bound ran");
}

/// Guards against hop-by-hop headers that reach the upstream.
#[tokio::test]
async fn hop_by_hop_headers_are_stripped() {
    let stage = Stage::new(1, 1).await;
    let text = "GET / HTTP/1.1\r\nhost: t\r\nconnection: close, x-secret\r\nx-secret: 1\r\n\
                keep-alive: 5\r\nupgrade: h2c\r\nproxy-authorization: a\r\nx-kept: 1\r\n\
                x-client-account: acme\r\nx-service: fit\r\n\r\n";
    stage.raw(text).await;
    let heads = stage.upstreams[0].heads().join("").to_lowercase();
    for name in ["x-secret", "keep-alive", "upgrade", "proxy-authorization"] {
        assert!(!heads.contains(name), "{heads}");
    }
    assert!(
        heads.contains("x-kept: 1") && heads.contains("x-deadline-ms"),
        "{heads}"
    );
}

/// Guards against callers that hold a connection by sending nothing, half a head or half a body.
#[tokio::test]
async fn silent_callers_are_cut() {
    let stage = Stage::new(1, 1).await;
    let start = Instant::now();
    raw(stage.address, "GET / HT").await;
    let half = format!("PUT / HTTP/1.1\r\n{HEAD}content-length: 100\r\n\r\nhalf");
    let answer = String::from_utf8(raw(stage.address, &half).await).unwrap();
    assert_eq!(status(&answer), 408, "{answer}");
    let streamed =
        format!("PUT / HTTP/1.1\r\n{HEAD}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    let answer = String::from_utf8(raw(stage.address, &streamed).await).unwrap();
    assert_eq!(status(&answer), 400, "{answer}");
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(stage.total(), 0);
}

/// Guards against overload that makes requests wait for nothing, runs more than the slots at once, or
/// refuses work that ran.
#[tokio::test]
async fn overload_is_shed() {
    let stage = Stage::new(1, 2).await;
    stage.upstreams[0].behave(Behaviour::Answer(Duration::from_millis(50)));
    for _ in 0..10 {
        stage.request("PUT", "", "x").await;
    }
    let ran = stage.total();
    let mut callers = JoinSet::new();
    for _ in 0..60 {
        let address = stage.address;
        callers.spawn(async move {
            let text =
                format!("PUT / HTTP/1.1\r\n{HEAD}x-deadline-ms: 300\r\ncontent-length: 1\r\n\r\nx");
            String::from_utf8(raw(address, &text).await).unwrap()
        });
    }
    let (mut answered, mut refused) = (0, 0);
    while let Some(answer) = callers.join_next().await {
        let answer = answer.unwrap();
        if status(&answer) == 200 {
            answered += 1;
        } else if answer.contains("x-ran: no") {
            assert!(matches!(status(&answer), 503 | 504), "{answer}");
            refused += 1;
        }
    }
    assert!(answered >= 5, "{answered} answered");
    assert!(refused >= 30, "{refused} refused as not run");
    assert!(
        stage.total() - ran <= 60 - refused,
        "a request refused as not run ran"
    );
    assert!(
        stage.upstreams[0].peak() <= 2,
        "{} at once",
        stage.upstreams[0].peak()
    );
}

/// Guards against requests that are sent although no claim could be committed.
#[tokio::test]
async fn no_claim_means_not_run() {
    let stage = Stage::new(1, 1).await;
    stage
        .claims
        .unavailable
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let answer = stage.request("POST", "idempotency-key: k\r\n", "x").await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("x-ran: no"), "{answer}");
    assert_eq!(stage.total(), 0);
    let flag = &stage.claims.unavailable;
    flag.store(false, std::sync::atomic::Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let answer = stage.request("POST", "idempotency-key: k\r\n", "x").await;
    assert_eq!(
        status(&answer),
        200,
        "a key without a claim stayed in use: {answer}"
    );
}

/// Guards against a claim that was committed without this instance learning it, and against its late release
/// freeing the key of a resend that runs.
#[tokio::test]
async fn lost_claims_are_released_once() {
    let stage = Stage::new(1, 4).await;
    let flag = &stage.claims.loses_answers;
    flag.store(true, std::sync::atomic::Ordering::SeqCst);
    let answer = stage.request("POST", "idempotency-key: k\r\n", "x").await;
    assert_eq!(status(&answer), 503, "{answer}");
    flag.store(false, std::sync::atomic::Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let answer = stage.request("POST", "idempotency-key: k\r\n", "x").await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(stage.upstreams[0].executions("k"), 1);
}

/// Guards against one key that runs more than once when it is sent many times at once.
#[tokio::test]
async fn a_key_sent_at_once_runs_once() {
    let stage = Stage::new(2, 4).await;
    let mut callers = JoinSet::new();
    for _ in 0..20 {
        let address = stage.address;
        callers.spawn(async move {
            let text = format!(
                "POST / HTTP/1.1\r\n{HEAD}idempotency-key: k\r\ncontent-length: 1\r\n\r\nx"
            );
            String::from_utf8(raw(address, &text).await).unwrap()
        });
    }
    let mut answered = 0;
    while let Some(answer) = callers.join_next().await {
        let answer = answer.unwrap();
        assert!(matches!(status(&answer), 200 | 409), "{answer}");
        answered += u32::from(status(&answer) == 200);
    }
    assert!(answered >= 1);
    assert_eq!(stage.total(), 1);
}

/// Guards against a claim that stays running after its request was refused as not run.
#[tokio::test]
async fn refused_claims_are_released() {
    let stage = Stage::new(1, 1).await;
    stage.upstreams[0].behave_once(Behaviour::Answer(Duration::from_millis(600)));
    let slow = {
        let address = stage.address;
        tokio::spawn(async move { raw(address, &format!("GET / HTTP/1.1\r\n{HEAD}\r\n")).await })
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    let headers = "idempotency-key: k\r\nx-deadline-ms: 100\r\n";
    let answer = stage.request("POST", headers, "x").await;
    assert!(answer.contains("x-ran: no"), "{answer}");
    slow.await.unwrap();
    let answer = stage.request("POST", "idempotency-key: k\r\n", "x").await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(stage.upstreams[0].executions("k"), 1);
}

/// Guards against a drain that interrupts requests, accepts new ones, or hides what is left.
#[tokio::test]
async fn drain_finishes_requests() {
    let mut stage = Stage::new(1, 4).await;
    stage.upstreams[0].behave(Behaviour::Chunked {
        chunks: 4,
        pause: Duration::from_millis(100),
    });
    let address = stage.address;
    let request = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        HEAD.replace("connection: close\r\n", "")
    );
    let running = tokio::spawn(async move { raw(address, &request).await });
    let idle = TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let server = stage.server.take().unwrap();
    let left = server.drain(Duration::from_secs(5)).await;
    assert_eq!(left, []);
    let answer = String::from_utf8(running.await.unwrap()).unwrap();
    assert!(
        answer.ends_with("0\r\n\r\n"),
        "the drain interrupted a request"
    );
    assert!(
        TcpStream::connect(address).await.is_err(),
        "still accepting"
    );
    drop(idle);
    assert_eq!(stage.records.0.lock().unwrap()[0].outcome, Ended::Answered);
}

/// Guards against a drain without end: what is left after the bound is reported and cut.
#[tokio::test]
async fn drain_reports_leftovers() {
    let mut stage = Stage::new(1, 4).await;
    stage.upstreams[0].behave(Behaviour::Silent);
    let mut stream = TcpStream::connect(stage.address).await.unwrap();
    stream
        .write_all(format!("GET /long HTTP/1.1\r\n{HEAD}\r\n").as_bytes())
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let start = Instant::now();
    let left = stage
        .server
        .take()
        .unwrap()
        .drain(Duration::from_millis(300))
        .await;
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].target, "GET /long");
}
