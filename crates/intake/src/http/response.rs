use {
    crate::Fault,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

/// Time after which a client that was refused for want of memory or connections should come back. A body that makes no
/// progress is cut much sooner.
pub(super) const RETRY_TIME: Duration = Duration::from_secs(1);

/// Response of a [`Handler`](super::Handler), complete in memory.
pub type Response = hyper::Response<Full<Bytes>>;

/// The refusal of a request whose body was not read to its end. It has not run.
pub fn refusal(fault: &Fault) -> Response {
    match fault {
        Fault::TooLarge(_) => response(StatusCode::PAYLOAD_TOO_LARGE, ""),
        Fault::Stalled | Fault::Slow => response(StatusCode::REQUEST_TIMEOUT, ""),
        Fault::Full | Fault::Fragments => {
            retry_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_TIME)
        }
        Fault::Broken(_) => response(StatusCode::BAD_REQUEST, ""),
    }
}

/// A response without body that tells when to come back.
pub fn retry_response(status: StatusCode, retry_after: Duration) -> Response {
    let mut response = response(status, "");
    let value = HeaderValue::from(retry_after.as_millis().div_ceil(1000) as u64);
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}

/// A response with a JSON body, or without body and content type if `body` is empty.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let body = body.into();
    let has_body = !body.is_empty();
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if has_body {
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
    }
    response
}
