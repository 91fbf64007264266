use {
    fake::client::{Answer, Client},
    http::Method,
    serde_json::Value,
    std::net::SocketAddr,
};

/// Sends JSON to one instance.
pub async fn post(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Answer, String> {
    let headers = [("content-type", "application/json")];
    client
        .call(address, Method::POST, path, &headers, body.to_string())
        .await
}
