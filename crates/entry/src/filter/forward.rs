use {
    super::{
        attempts::{Attempts, Mark},
        chain::Context,
        headers, route,
    },
    crate::{
        body::{Fault, Outgoing, Parts, Relay, Reply},
        call::Call,
        desk::{Guard, Ticket},
        pool::Lease,
        refusal::Refused,
    },
    ::route::{Action, retry::Progress},
    bytes::BytesMut,
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header},
    hyper::body::{Body, Incoming},
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Header that marks an attempt; an upstream that returns it lets a crossed answer be found.
const ATTEMPT: &str = "x-attempt-id";

/// The answer of an attempt.
pub(super) struct Answered {
    pub(super) response: Response<Incoming>,
    pub(super) lease: Lease,
    pub(super) guard: Guard,
    sent: Instant,
    cross_region: bool,
}

/// An attempt that failed.
pub(super) struct Failed {
    pub(super) guard: Guard,
    fault: Option<Fault>,
    forbidden: bool,
}

/// Sends the request, follows the router's resends and hedges, and passes on the first answer.
pub(super) async fn forward(
    context: &Arc<Context>,
    call: &Arc<Call>,
    mut ticket: Ticket,
    first: Action,
) -> Result<Response<Reply>, Refused> {
    let mut attempts = Attempts::new(context, call);
    let mut next = Some(first);
    loop {
        match next.take() {
            Some(send @ Action::Send { .. }) => attempts.start(send),
            Some(Action::Cancel { attempt, .. }) => attempts.cancel(attempt),
            Some(Action::Refuse { refusal, .. }) => return Err(refusal.into()),
            Some(Action::Claim { .. }) | None => {}
        }
        tokio::select! {
            biased;
            action = ticket.next() => match action {
                Some(action) => next = Some(action),
                None => return Err(Refused::unknown(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the instance is ending",
                )),
            },
            Some(result) = attempts.next(), if !attempts.is_empty() => match result {
                Ok(mut answered) => {
                    answered.guard.answering();
                    drop(attempts);
                    return Ok(relay(context, call, ticket, answered).await);
                }
                Err(mut failed) => {
                    if let Some(refused) = stop(call, &failed) {
                        failed.guard.stopped();
                        return Err(refused);
                    }
                    failed.guard.failed();
                }
            },
        }
    }
}

/// The refusal of a request that failed for a reason other than the upstream.
fn stop(call: &Call, failed: &Failed) -> Option<Refused> {
    let sent = failed.guard.progress() >= Progress::Sent;
    let (status, text) = match failed.fault {
        Some(Fault::TooLarge) => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body exceeds the bound",
        ),
        Some(Fault::Caller) => (StatusCode::BAD_REQUEST, "the request body broke off"),
        None if failed.forbidden => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the account's places changed while the request waited",
        ),
        None => return None,
    };
    log::debug!(account = call.account.as_str(); "event=request_stopped reason={text:?}");
    Some(if sent {
        Refused::unknown(status, text)
    } else {
        Refused::not_run(status, text)
    })
}

pub(super) async fn attempt_once(
    context: &Arc<Context>,
    call: &Arc<Call>,
    guard: Guard,
    address: String,
    site: model::place::Site,
    cross_region: bool,
    mark: &Mark,
) -> Result<Answered, Failed> {
    let mut guard = guard;
    let settings = &context.deps.settings;
    let fail = |guard| Failed {
        guard,
        fault: None,
        forbidden: false,
    };
    let Ok(mut lease) = route::connect(context, &address, true).await else {
        return Err(fail(guard));
    };
    if !route::is_permitted(context, call, &site) {
        return Err(Failed {
            guard,
            fault: None,
            forbidden: true,
        });
    }
    if guard.is_outdated() {
        log::info!(upstream = address.as_str(); "event=decision_outdated");
        return Err(fail(guard));
    }
    let Some(body) = Outgoing::new(
        call.clone(),
        settings.max_body,
        settings.caller_stall,
        cross_region,
    ) else {
        return Err(fail(guard));
    };
    let id = guard.id();
    let mut request = request(call, &address, &id, context.deps.desk.clock().now(), body);
    let mut sent = context.deps.desk.clock().now();
    guard.sent();
    mark.sent.store(true, Ordering::Relaxed);
    if let Some(key) = call.claim() {
        let (claims, account, key) = (
            context.deps.claims.clone(),
            call.account.clone(),
            key.to_owned(),
        );
        tokio::spawn(async move { claims.sent(&account, &key).await });
    }
    loop {
        let Some(sender) = lease.sender() else {
            return Err(fail(guard));
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                if !is_sound(&response, &call.method, &id) {
                    log::warn!(upstream = address.as_str(); "event=unsound_answer");
                    return Err(fail(guard));
                }
                return Ok(Answered {
                    response,
                    lease,
                    guard,
                    sent,
                    cross_region,
                });
            }
            Err(mut error) => {
                // A connection that closed before it took the request gives it back unsent.
                let wanted = lease.is_reused() && !mark.given_up.load(Ordering::Relaxed);
                let returned = error.take_message().filter(|_| wanted);
                let Some(unsent) = returned else {
                    return Err(Failed {
                        guard,
                        fault: call.body.fault(),
                        forbidden: false,
                    });
                };
                let Ok(fresh) = route::connect(context, &address, false).await else {
                    return Err(fail(guard));
                };
                if !route::is_permitted(context, call, &site) {
                    return Err(Failed {
                        guard,
                        fault: None,
                        forbidden: true,
                    });
                }
                lease = fresh;
                request = unsent;
                sent = context.deps.desk.clock().now();
            }
        }
    }
}

fn request(
    call: &Call,
    address: &str,
    id: &str,
    now: Instant,
    body: Outgoing,
) -> Request<Outgoing> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    let target = call
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
    let mut headers = call.headers.clone();
    if !headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(address)
    {
        headers.insert(header::HOST, host);
    }
    let left = call
        .deadline
        .saturating_duration_since(now)
        .max(Duration::from_millis(1));
    headers.insert("x-deadline-ms", HeaderValue::from(left.as_millis() as u64));
    headers.insert(header::TE, HeaderValue::from_static("trailers"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(ATTEMPT, id);
    }
    *request.headers_mut() = headers;
    request
}

/// Tells whether an answer belongs to this attempt and announces its end, so that a truncated body can be
/// recognised.
fn is_sound(response: &Response<Incoming>, method: &Method, id: &str) -> bool {
    let headers = response.headers();
    if headers
        .get(ATTEMPT)
        .is_some_and(|echoed| echoed.as_bytes() != id.as_bytes())
    {
        return false;
    }
    let status = response.status();
    if status.is_informational() {
        return false;
    }
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodiless
        || response.body().size_hint().exact().is_some()
        || headers
            .get(header::TRANSFER_ENCODING)
            .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

async fn relay(
    context: &Arc<Context>,
    call: &Arc<Call>,
    ticket: Ticket,
    answered: Answered,
) -> Response<Reply> {
    let Answered {
        response,
        lease,
        guard,
        sent,
        cross_region,
    } = answered;
    let (mut parts, incoming) = response.into_parts();
    headers::strip(&mut parts.headers);
    parts.headers.remove(ATTEMPT);
    let claimed = call.claim().is_some();
    let body = Parts {
        incoming,
        lease,
        guard,
        _ticket: ticket,
        call: call.clone(),
        deps: context.deps.clone(),
        sent,
        status: parts.status.as_u16(),
        headers: if claimed {
            kept_headers(&parts.headers)
        } else {
            Vec::new()
        },
        cross_region,
        kept: claimed.then(BytesMut::new),
    };
    let mut relay = Relay::new(body);
    relay.finish_if_empty().await;
    Response::from_parts(parts, Reply::Relay(Box::new(relay)))
}

fn kept_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .filter(|(name, _)| *name != header::CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
