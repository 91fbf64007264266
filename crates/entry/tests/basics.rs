//! Forwarding, refusals and claims in the ordinary case.

mod common;

use common::{Stage, status};

/// Guards against answers that lose their body, status or end-to-end headers on the way.
#[tokio::test]
async fn forwards_a_request() {
    let stage = Stage::new(2, 2).await;
    let answer = stage.request("PUT", "", "hello").await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("hello"), "{answer}");
    assert_eq!(stage.total(), 1);
    let records = stage.records.0.lock().unwrap();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].bytes, 10);
}

/// Guards against refusals that do not say whether the work ran.
#[tokio::test]
async fn refuses_with_reason() {
    let stage = Stage::new(1, 1).await;
    let text = "GET / HTTP/1.1\r\nhost: t\r\nconnection: close\r\nx-client-account: far\r\nx-service: fit\r\n\r\n";
    let answer = String::from_utf8(stage.raw(text).await).unwrap();
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("x-ran: no"));
    assert!(answer.contains("\"ran\":\"no\"") && answer.contains("\"retry_after_ms\":1000"));
    *stage.held.0.lock().unwrap() = None;
    let answer = stage.request("GET", "", "").await;
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("x-ran: no"), "{answer}");
    assert_eq!(stage.total(), 0);
}

/// Guards against a second run of a request that is not idempotent, and against a resend that does not get
/// the first answer.
#[tokio::test]
async fn claims_a_request() {
    let stage = Stage::new(1, 1).await;
    let missing = stage.request("POST", "", "x").await;
    assert_eq!(status(&missing), 400);
    let first = stage
        .request("POST", "idempotency-key: k1\r\n", "once")
        .await;
    assert_eq!(status(&first), 200, "{first}");
    let second = stage
        .request("POST", "idempotency-key: k1\r\n", "once")
        .await;
    assert_eq!(status(&second), 200, "{second}");
    assert!(second.ends_with("once"));
    assert_eq!(stage.upstreams[0].executions("k1"), 1);
    let other = stage
        .request("POST", "idempotency-key: k1\r\n", "twice")
        .await;
    assert_eq!(status(&other), 422);
    assert_eq!(stage.upstreams[0].executions("k1"), 1);
}
