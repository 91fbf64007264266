use {
    bytes::Bytes,
    control::worker::{Error, Link},
    futures::{FutureExt, future::BoxFuture},
    http::{Method, Request},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    model::worker::{Answer, Order},
    std::time::Duration,
    tokio::time,
};

/// Largest accepted answer in bytes; the states of 64 tasks take about 20 KB.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections to a worker are closed after this time.
const IDLE: Duration = Duration::from_secs(30);

/// Sends orders by `POST /v1/orders`.
#[derive(Clone)]
pub struct Http {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// Returns a link without connections.
    pub fn new() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(TIMEOUT));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Http { client }
    }
}

impl Default for Http {
    fn default() -> Http {
        Http::new()
    }
}

impl Link for Http {
    fn order(
        &self,
        address: &str,
        orders: Vec<Order>,
    ) -> BoxFuture<'static, Result<Answer, Error>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/orders");
        async move {
            match time::timeout(TIMEOUT, send(client, uri, orders)).await {
                Ok(result) => result,
                Err(_) => Err(Error::NoAnswer(format!(
                    "nothing within {} ms",
                    TIMEOUT.as_millis()
                ))),
            }
        }
        .boxed()
    }
}

async fn send(
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    uri: String,
    orders: Vec<Order>,
) -> Result<Answer, Error> {
    let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
    let body = serde_json::to_vec(&orders).map_err(|error| not_sent(&error))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| not_sent(&error))?;
    let answer = client.request(request).await.map_err(|error| {
        if error.is_connect() {
            Error::NotSent(error.to_string())
        } else {
            Error::NoAnswer(error.to_string())
        }
    })?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| Error::NoAnswer(error.to_string()))?;
    if !status.is_success() {
        return Err(Error::NoAnswer(format!("HTTP status {status}")));
    }
    let answer: Answer = serde_json::from_slice(&body.to_bytes())
        .map_err(|error| Error::NoAnswer(format!("malformed answer: {error}")))?;
    if answer.tasks.len() != orders.len() {
        return Err(Error::NoAnswer(format!(
            "{} states for {} orders",
            answer.tasks.len(),
            orders.len()
        )));
    }
    Ok(answer)
}
