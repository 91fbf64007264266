use {
    super::{
        error::{NOT_RUN, UNKNOWN},
        server::MAX_BODY_BYTES,
    },
    bytes::Bytes,
    futures::future::{BoxFuture, FutureExt},
    http::{
        HeaderMap, HeaderName, Request, StatusCode, Uri,
        header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING, UPGRADE},
    },
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    intake::{
        Fault, Limits,
        http::{Body, Handler, Response, refusal, response},
    },
    serde_json::json,
    std::{fmt::Display, net::SocketAddr, time::Duration},
};

/// Bytes that may arrive without being read on a connection that has sent less than that at once, and on one of
/// `LARGE_BUFFERS` that have sent more.
const INITIAL_UNREAD_BYTES: u32 = 4 << 10;
const UNREAD_BYTES: u32 = 64 << 10;
const LARGE_BUFFERS: usize = 64;

/// Largest head: 16 KiB of fields and 8 KiB for the request line.
const HEAD_BYTES: usize = 24 << 10;
const HEAD_FIELDS: usize = 100;
const HEAD_TIME: Duration = Duration::from_secs(5);

/// Lowest average rate of a body in bytes a second, after the first stall time.
const BODY_RATE: u32 = 4 << 10;

/// Incomplete bodies in very small chunks at once.
const FRAGMENTED_BODIES: usize = 16;

/// Fields that concern one connection and are not passed on.
const CONNECTION_FIELDS: [HeaderName; 5] =
    [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING, UPGRADE];

/// Passes complete calls on to the listener of the endpoints, which has no bound on connections, heads, time, or the sum
/// of bodies.
pub(super) struct Front {
    endpoints: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Front {
    pub fn new(endpoints: SocketAddr) -> Front {
        Front {
            endpoints,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    async fn pass_on(&self, request: Request<Body>) -> Response {
        let (parts, body) = request.into_parts();
        let (bytes, _memory) = match body.read(MAX_BODY_BYTES).await {
            Ok(loaded) => loaded.into_parts(),
            Err(fault) => return refused(&fault),
        };
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.endpoints.to_string())
            .path_and_query(target)
            .build();
        let uri = match uri {
            Ok(uri) => uri,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, NOT_RUN, &error),
        };
        let mut call = Request::new(Full::new(Bytes::from(bytes)));
        *call.method_mut() = parts.method;
        *call.uri_mut() = uri;
        *call.headers_mut() = passed_fields(parts.headers);
        let answer = match self.client.request(call).await {
            Ok(answer) => answer,
            Err(error) => return failed(&error),
        };
        let (parts, body) = answer.into_parts();
        match body.collect().await {
            Ok(body) => {
                let mut answer = Response::new(Full::new(body.to_bytes()));
                *answer.status_mut() = parts.status;
                *answer.headers_mut() = passed_fields(parts.headers);
                answer
            }
            Err(error) => error_response(StatusCode::BAD_GATEWAY, UNKNOWN, &error),
        }
    }
}

impl Handler for Front {
    fn handle(&self, request: Request<Body>) -> BoxFuture<'_, Response> {
        self.pass_on(request).boxed()
    }
}

/// Bounds on the callers of the API.
pub(super) fn limits(settings: &settings::Api) -> Limits {
    Limits {
        connections: settings.max_connections,
        head_bytes: HEAD_BYTES,
        head_fields: HEAD_FIELDS,
        head_time: HEAD_TIME.min(settings.caller_stall),
        idle_time: settings.caller_stall,
        body_stall: settings.caller_stall,
        body_rate: BODY_RATE,
        initial_unread_bytes: INITIAL_UNREAD_BYTES,
        unread_bytes: UNREAD_BYTES,
        large_buffers: LARGE_BUFFERS,
        body_memory: settings.body_memory,
        fragmented_bodies: FRAGMENTED_BODIES,
        answer_memory: settings.body_memory,
        write_stall: settings.caller_stall,
    }
}

fn passed_fields(mut fields: HeaderMap) -> HeaderMap {
    for name in CONNECTION_FIELDS {
        fields.remove(name);
    }
    fields
}

/// The call was not passed on.
fn refused(fault: &Fault) -> Response {
    let (head, _) = refusal(fault).into_parts();
    let mut answer = error_response(head.status, NOT_RUN, fault);
    answer.headers_mut().extend(head.headers);
    answer
}

fn failed(error: &Error) -> Response {
    match error.is_connect() {
        true => error_response(StatusCode::SERVICE_UNAVAILABLE, NOT_RUN, error),
        false => error_response(StatusCode::BAD_GATEWAY, UNKNOWN, error),
    }
}

/// An error in the format of the endpoints.
fn error_response(status: StatusCode, code: &str, message: &dyn Display) -> Response {
    let body = json!({
        "request_id": "",
        "error_code": code,
        "message": message.to_string(),
    });
    response(status, body.to_string())
}
