//! Upstreams that fail in the middle: truncated, stalled, late, duplicate, crossed and silent answers.

mod common;

use {
    common::{Stage, raw, settings, status},
    entry::Settings,
    fake::upstream::Behaviour,
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

const KEY: &str = "idempotency-key: k1\r\n";

fn get(close: bool) -> String {
    let connection = if close { "connection: close\r\n" } else { "" };
    format!(
        "GET /work HTTP/1.1\r\nhost: t\r\n{connection}x-client-account: acme\r\nx-service: fit\r\n\
         x-deadline-ms: 1500\r\n\r\n"
    )
}

/// Guards against a truncated answer that ends like a whole one.
#[tokio::test]
async fn truncated_answers_break_the_connection() {
    let stage = Stage::new(1, 2).await;
    stage.upstreams[0].behave(Behaviour::Truncate(10));
    let answer = String::from_utf8_lossy(&stage.raw(&get(false)).await).into_owned();
    assert!(answer.contains("content-length: 100"), "{answer}");
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(body.len() <= 10, "{answer}");
    stage.upstreams[0].behave(Behaviour::TruncateChunked);
    let answer = String::from_utf8_lossy(&stage.raw(&get(false)).await).into_owned();
    assert!(answer.contains("transfer-encoding: chunked"), "{answer}");
    assert!(
        !answer.contains("\r\n0\r\n"),
        "a truncated answer has a final chunk: {answer}"
    );
}

/// Guards against an answer whose end cannot be known being passed on as whole.
#[tokio::test]
async fn answers_without_end_are_refused() {
    let stage = Stage::new(1, 2).await;
    stage.upstreams[0].behave(Behaviour::Unframed);
    let answer = String::from_utf8_lossy(&stage.raw(&get(true)).await).into_owned();
    assert_eq!(status(&answer), 502, "{answer}");
    assert!(answer.contains("x-ran: unknown"), "{answer}");
}

/// Guards against a stalled answer or a silent upstream that holds the caller for ever.
#[tokio::test]
async fn stalls_end_at_the_deadline() {
    let stage = Stage::new(1, 4).await;
    for behaviour in [Behaviour::Stall(10), Behaviour::Silent] {
        stage.upstreams[0].behave(behaviour.clone());
        let start = Instant::now();
        let answer = String::from_utf8_lossy(&stage.raw(&get(false)).await).into_owned();
        let elapsed = start.elapsed();
        assert!(
            elapsed < Duration::from_secs(3),
            "{behaviour:?} took {elapsed:?}"
        );
        if behaviour == Behaviour::Silent {
            assert_eq!(status(&answer), 504, "{answer}");
            assert!(answer.contains("x-ran: unknown"), "{answer}");
        } else {
            assert!(
                answer.split_once("\r\n\r\n").unwrap().1.len() <= 10,
                "{answer}"
            );
        }
    }
    // The upstream may run on until the deadline that it was told, and 1 s is allowed for its reaction.
    freed(&stage, Duration::from_secs(2)).await;
}

/// Waits until no slot is in use; fails if that takes longer than `limit`.
async fn freed(stage: &Stage, limit: Duration) {
    let freed = async {
        while stage.desk.with(|router, _| router.slots().1) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(limit, freed).await.expect("a slot was not freed");
}

/// Guards against a second answer on a reused connection reaching the next caller.
#[tokio::test]
async fn duplicate_answers_reach_nobody() {
    for later in [0, 5, 30] {
        let stage = Stage::new(1, 1).await;
        stage.upstreams[0].behave_once(Behaviour::Duplicate(Duration::from_millis(later)));
        let first = stage.request("PUT", "", "one").await;
        assert!(first.ends_with("one"), "{first}");
        for text in ["two-two", "three"] {
            let next = stage.request("PUT", "", text).await;
            let whole = status(&next) == 200 && next.ends_with(text);
            assert!(whole || status(&next) == 502, "after {later} ms: {next}");
        }
    }
}

/// Guards against a second answer that only shows as bytes on an idle connection.
#[tokio::test]
async fn unmarked_duplicates_reach_nobody() {
    for _ in 0..20 {
        let stage = Stage::new(1, 1).await;
        stage.upstreams[0].behave_once(Behaviour::DuplicateUnmarked);
        let first = stage.request("PUT", "", "one").await;
        assert!(first.ends_with("one"), "{first}");
        let next = stage.request("PUT", "", "two-two").await;
        let whole = status(&next) == 200 && next.ends_with("two-two");
        assert!(whole || status(&next) == 502, "{next}");
    }
}

/// Guards against an answer to another attempt being passed on.
#[tokio::test]
async fn crossed_answers_are_refused() {
    let stage = Stage::new(1, 1).await;
    stage.upstreams[0].behave_once(Behaviour::Crossed);
    let answer = stage.request("POST", KEY, "mine").await;
    assert_eq!(status(&answer), 502, "{answer}");
    assert!(
        answer.contains("x-ran: unknown") && !answer.contains("mine"),
        "{answer}"
    );
    let again = stage.request("POST", KEY, "mine").await;
    assert_eq!(status(&again), 409, "{again}");
    assert_eq!(stage.upstreams[0].executions("k1"), 1);
}

/// Guards against a second run of a request whose answer was lost, and for a resend to another upstream.
#[tokio::test]
async fn lost_answers_are_not_rerun() {
    for behaviour in [Behaviour::CloseEarly, Behaviour::Garbage] {
        let stage = Stage::new(2, 1).await;
        stage
            .upstreams
            .iter()
            .for_each(|upstream| upstream.behave(behaviour.clone()));
        let answer = stage.request("POST", KEY, "x").await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert!(answer.contains("x-ran: unknown"), "{answer}");
        assert_eq!(stage.total(), 1, "{behaviour:?} was sent again");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let again = stage.request("POST", KEY, "x").await;
        assert_eq!(status(&again), 409, "{again}");
        assert!(again.contains("x-ran: unknown"), "{again}");
    }
}

/// Guards against an idempotent request that fails although another upstream is well.
#[tokio::test]
async fn idempotent_requests_are_sent_again() {
    let stage = Stage::new(2, 1).await;
    stage.upstreams[0].behave(Behaviour::CloseEarly);
    for _ in 0..4 {
        let answer = stage.request("PUT", "", "again").await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("again"), "{answer}");
    }
}

/// Guards against a reused connection that the upstream closed in between.
#[tokio::test]
async fn connections_closed_between_are_replaced() {
    let stage = Stage::new(1, 1).await;
    for behaviour in [Behaviour::CloseAfter, Behaviour::default()] {
        stage.upstreams[0].behave(behaviour);
        for number in 0..5 {
            let key = format!("idempotency-key: n{number}-{}\r\n", stage.total());
            let answer = stage.request("POST", &key, "x").await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
    }
    assert_eq!(stage.total(), 10);
    assert!(
        stage.upstreams[0].connections() <= 7,
        "connections are not reused"
    );
}

/// Guards against a connection that went silent while idle being used for ever: it is replaced by age.
#[tokio::test]
async fn old_connections_are_not_reused() {
    let bounds = Settings {
        idle_reuse: Duration::from_millis(100),
        ..settings()
    };
    let stage = Stage::with(1, 1, bounds).await;
    for _ in 0..2 {
        assert_eq!(status(&stage.request("PUT", "", "x").await), 200);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(stage.upstreams[0].connections(), 2);
}

/// Guards against a hedge that never happens: one silent upstream must not cost a deadline when another is
/// free.
#[tokio::test]
async fn stragglers_are_hedged() {
    let stage = Stage::new(2, 2).await;
    for _ in 0..40 {
        assert_eq!(status(&stage.request("PUT", "", "x").await), 200);
    }
    for upstream in stage.upstreams.iter() {
        upstream.behave_once(Behaviour::Answer(Duration::from_secs(4)));
    }
    stage.upstreams[1].behave_once(Behaviour::default());
    let start = Instant::now();
    let answer = stage
        .request("PUT", "x-deadline-ms: 5000\r\n", "hedged")
        .await;
    // At most one of the two is slow twice, so at least the second or third send is quick.
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("hedged"), "{answer}");
    assert!(start.elapsed() < Duration::from_millis(4500));
}

/// Guards against trailers and chunked answers that are lost or joined wrongly.
#[tokio::test]
async fn streams_chunks_and_trailers() {
    let stage = Stage::new(1, 1).await;
    stage.upstreams[0].behave(Behaviour::Chunked {
        chunks: 4,
        pause: Duration::ZERO,
    });
    let text = "GET / HTTP/1.1\r\nhost: t\r\nconnection: close, te\r\nte: trailers\r\n\
                x-client-account: acme\r\nx-service: fit\r\n\r\n";
    let answer = String::from_utf8(stage.raw(text).await).unwrap();
    assert!(answer.matches('c').count() >= 4096, "{}", answer.len());
    assert!(
        answer.ends_with("0\r\nx-sum: 4096\r\n\r\n"),
        "{}",
        &answer[answer.len() - 60..]
    );
}

/// Guards against answers that pile up in memory when the caller does not read, and against callers that
/// hold an upstream for ever by not reading.
#[tokio::test]
async fn callers_that_do_not_read_are_cut() {
    let stage = Stage::new(1, 1).await;
    let mut stream = TcpStream::connect(stage.address).await.unwrap();
    let text = get(false)
        .replace("/work", "/work?bytes=100000000")
        .replace("1500", "20000");
    stream.write_all(text.as_bytes()).await.unwrap();
    let freed = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        while stage.desk.with(|router, _| router.slots().1) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(5), freed)
        .await
        .expect("the slot was not freed");
    let mut read = 0;
    let mut part = vec![0; 1 << 16];
    while let Ok(count) = stream.read(&mut part).await {
        if count == 0 {
            break;
        }
        read += count;
    }
    assert!(read < 50_000_000, "{read} bytes were buffered");
}

/// Guards against a caller's hang-up that leaves the slot occupied for good or frees it while the upstream
/// still runs the request, and for a claimed request that loses
/// its answer by it.
#[tokio::test]
async fn callers_may_hang_up() {
    let stage = Stage::new(1, 1).await;
    stage.upstreams[0].behave(Behaviour::Answer(Duration::from_millis(300)));
    let mut stream = TcpStream::connect(stage.address).await.unwrap();
    stream.write_all(get(false).as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    // The upstream runs the request for another 100 ms; until then the slot must not be used again.
    assert_eq!(stage.upstreams[0].busy(), 1);
    assert_eq!(stage.desk.with(|router, _| router.slots().1), 1);
    freed(&stage, Duration::from_millis(500)).await;
    assert_eq!(
        stage.upstreams[0].busy(),
        0,
        "the slot was freed while in use"
    );
    let text = format!(
        "POST /work HTTP/1.1\r\nhost: t\r\nx-client-account: acme\r\nx-service: fit\r\n{KEY}\
         content-length: 4\r\n\r\nbody"
    );
    let mut stream = TcpStream::connect(stage.address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let close = text.replace("host: t\r\n", "host: t\r\nconnection: close\r\n");
    let answer = String::from_utf8(raw(stage.address, &close).await).unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("body"), "{answer}");
    assert_eq!(stage.upstreams[0].executions("k1"), 1);
}

/// Guards against a slot that is used again while the upstream runs a request far beyond its deadline. A request that
/// has waited for its slot leaves the upstream little of its time, and an upstream that ignores deadlines works on.
#[tokio::test]
async fn a_request_that_waited_keeps_its_slot_beyond_its_deadline() {
    let stage = Stage::new(1, 1).await;
    stage.upstreams[0].behave_once(Behaviour::Answer(Duration::from_millis(700)));
    stage.upstreams[0].behave_once(Behaviour::Answer(Duration::from_millis(2500)));
    let deadline = "x-deadline-ms: 1000\r\n";
    let first = stage.request("PUT", deadline, "first");
    let second = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stage.request("PUT", deadline, "second").await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(status(&first), 200, "{first}");
    assert_eq!(status(&second), 504, "{second}");
    // The upstream runs the second request until 3.2 s after the start.
    let third = stage
        .request("PUT", "x-deadline-ms: 4000\r\n", "third")
        .await;
    assert_eq!(status(&third), 200, "{third}");
    assert_eq!(stage.upstreams[0].peak(), 1, "the slot was used twice");
}
