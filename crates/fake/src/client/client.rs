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
