use {
    bytes::Bytes,
    http::{Method, Request},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// Largest accepted answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Wait for a whole answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends JSON to the instances of a deployment.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    instances: Vec<SocketAddr>,
}

impl Client {
    /// Returns a client that tries the API addresses in turn.
    pub fn new(instances: impl Into<Vec<SocketAddr>>) -> Client {
        Client {
            inner: legacy::Client::builder(TokioExecutor::new()).build_http(),
            instances: instances.into(),
        }
    }

    /// Sends a request to one instance after the other, from `first` on, until one accepts it.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        first: usize,
    ) -> bool {
        let Ok(bytes) = serde_json::to_vec(body) else {
            return false;
        };
        for offset in 0..self.instances.len() {
            let address = self.instances[(first + offset) % self.instances.len()];
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{address}{path}"))
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(bytes.clone())));
            let Ok(request) = request else { return false };
            if let Ok(Ok(answer)) = time::timeout(TIMEOUT, self.inner.request(request)).await {
                let accepted = answer.status().is_success();
                // The body is read so that the connection can be used again.
                let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
                drop(time::timeout(TIMEOUT, body.collect()).await);
                if accepted {
                    return true;
                }
            }
        }
        false
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Why a call has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection ended before the whole answer.
    Broken(String),
    /// No whole answer in time.
    Late,
}

impl Client {
    /// Sends one request to one address and returns the whole answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, String> {
        self.call_within(CALL_TIMEOUT, address, method, path, headers, body)
            .await
            .map_err(|fault| match fault {
                Fault::Unreachable => format!("{address} cannot be reached"),
                Fault::Broken(error) => error,
                Fault::Late => format!("{address} did not answer in time"),
            })
    }

    /// Sends one request to one address and returns the whole answer if it arrives within `bound`.
    pub async fn call_within(
        &self,
        bound: Duration,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, Fault> {
        let broken = |error: &dyn std::error::Error| Fault::Broken(error.to_string());
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|error| broken(&error))?;
        let call = async {
            let answer = self.inner.request(request).await.map_err(|error| {
                if error.is_connect() {
                    Fault::Unreachable
                } else {
                    broken(&error)
                }
            })?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| broken(error.as_ref()))?;
            Ok(Answer {
                status: head.status.as_u16(),
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        time::timeout(bound, call).await.unwrap_or(Err(Fault::Late))
    }
}
