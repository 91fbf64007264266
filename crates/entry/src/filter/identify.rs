use {
    super::{chain::Context, headers},
    crate::{
        body::Source,
        call::{Call, Traffic},
        refusal::Refused,
    },
    bytes::Bytes,
    http::{
        HeaderMap, Method, Request, StatusCode, Version, header::CONTENT_LENGTH, request::Parts,
    },
    hyper::body::Incoming,
    intake::{Fault, Upload, budget::Reservation},
    model::request::Class,
    std::time::{Duration, Instant},
};

/// Largest body that is read before the request is sent: it can be sent again and is part of the digest.
const KEPT_BODY_BYTES: u64 = 64 << 10;

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Service of requests that name none.
const DEFAULT_SERVICE: &str = "default";

/// Marks a request whose head states its length in two ways.
#[derive(Clone, Copy)]
pub(crate) struct Ambiguous;

/// Finds account, class, service, deadline and key, and refuses requests that upstreams could read
/// differently.
pub(super) async fn identify(
    context: &Context,
    request: Request<Upload<Incoming>>,
    arrived: Instant,
) -> Result<Call, Refused> {
    let settings = &context.deps.settings;
    let (mut parts, body) = request.into_parts();
    check(&parts)?;
    if body.size_hint().lower() > settings.max_body {
        return Err(Refused::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the request body exceeds {} bytes", settings.max_body),
        ));
    }
    if !headers::strip(&mut parts.headers) {
        return Err(bad("`Connection` names a header that must be passed on"));
    }
    parts.headers.remove(CONTENT_LENGTH);
    let account = required(&parts.headers, "x-client-account")?.to_owned();
    let class = match text(&parts.headers, "x-class")? {
        None | Some("short") => Class::Short,
        Some("batch") => Class::Batch,
        Some(_) => return Err(bad("`x-class` must be `short` or `batch`")),
    };
    let service = text(&parts.headers, "x-service")?
        .unwrap_or(DEFAULT_SERVICE)
        .to_owned();
    let budget = match text(&parts.headers, "x-deadline-ms")? {
        None => settings.max_deadline,
        Some(value) => match value.parse::<u64>() {
            Ok(ms) if ms > 0 => Duration::from_millis(ms),
            _ => {
                return Err(bad(
                    "`x-deadline-ms` must be a positive number of milliseconds",
                ));
            }
        },
    };
    if budget > settings.max_deadline {
        let longest = settings.max_deadline.as_millis();
        return Err(bad(&format!(
            "`x-deadline-ms` exceeds the longest deadline, {longest}"
        )));
    }
    let idempotent = match text(&parts.headers, "x-idempotent")? {
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad("`x-idempotent` must be `true` or `false`")),
        None => parts.method.is_idempotent() && parts.method != Method::TRACE,
    };
    let key = text(&parts.headers, "idempotency-key")?.map(str::to_owned);
    match &key {
        None if !idempotent => {
            return Err(bad(
                "a request that is not idempotent needs an `idempotency-key`",
            ));
        }
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            return Err(bad("`idempotency-key` must have 1 to 256 bytes"));
        }
        _ => {}
    }
    let length = body.size_hint().exact();
    let (body, memory) = keep(context, body, length, idempotent).await?;
    let digest = digest(&parts, &service, &body, length);
    Ok(Call {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        account,
        class,
        service,
        arrived,
        deadline: arrived + budget,
        idempotent,
        key,
        digest,
        body,
        _memory: memory,
        hold: std::sync::OnceLock::new(),
        traffic: Traffic::default(),
    })
}

fn bad(text: &str) -> Refused {
    Refused::not_run(StatusCode::BAD_REQUEST, text)
}

fn check(parts: &Parts) -> Result<(), Refused> {
    if parts.version != Version::HTTP_11 && parts.version != Version::HTTP_10 {
        return Err(bad("only HTTP/1 is served"));
    }
    let ambiguous = parts.extensions.get::<Ambiguous>().is_some();
    if ambiguous || headers::is_ambiguous(&parts.headers) {
        return Err(bad("the length of the body is stated more than once"));
    }
    if matches!(parts.method, Method::CONNECT | Method::TRACE) {
        return Err(Refused::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "CONNECT and TRACE are not served",
        ));
    }
    if parts.headers.get_all(http::header::HOST).iter().count() > 1 {
        return Err(bad("more than one `Host`"));
    }
    Ok(())
}

/// The one value of a header; two values could be read differently further on.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refused> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(bad(&format!("more than one `{name}`")));
    }
    first
        .map(|value| {
            value
                .to_str()
                .map_err(|_| bad(&format!("`{name}` is not text")))
        })
        .transpose()
}

fn required<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Refused> {
    text(headers, name)?.ok_or_else(|| bad(&format!("`{name}` is missing")))
}

/// Reads a small body of known length, so that it can be sent again.
async fn keep(
    context: &Context,
    body: Upload<Incoming>,
    length: Option<u64>,
    idempotent: bool,
) -> Result<(Source, Option<Reservation>), Refused> {
    let Some(length) = length.filter(|length| *length <= KEPT_BODY_BYTES) else {
        return Ok((Source::arriving(body.into_inner()), None));
    };
    if length == 0 {
        return Ok((Source::Kept(Bytes::new()), None));
    }
    let length = length as usize;
    let is_full = context.intake.bodies.used() + length > context.intake.limits.body_memory;
    if is_full && idempotent {
        return Ok((Source::arriving(body.into_inner()), None));
    }
    match body.read(length).await {
        Ok(loaded) => {
            let (bytes, memory) = loaded.into_parts();
            Ok((Source::Kept(Bytes::from(bytes)), Some(memory)))
        }
        Err(fault) => Err(refused(&fault)),
    }
}

fn refused(fault: &Fault) -> Refused {
    match fault {
        Fault::Stalled => Refused::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "the request body stopped arriving",
        ),
        Fault::Slow => Refused::not_run(StatusCode::REQUEST_TIMEOUT, fault.to_string()),
        Fault::Full | Fault::Fragments => Refused::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "too many request bodies are held; send again later",
        )
        .after(Duration::from_secs(1)),
        Fault::TooLarge(_) => Refused::not_run(StatusCode::PAYLOAD_TOO_LARGE, fault.to_string()),
        Fault::Broken(_) => bad("the request body broke off"),
    }
}

/// FNV-1a over what makes two requests with one key the same. A body that is not kept counts by its length.
fn digest(parts: &Parts, service: &str, body: &Source, length: Option<u64>) -> u64 {
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let content_type = parts
        .headers
        .get(http::header::CONTENT_TYPE)
        .map_or(&b""[..], |value| value.as_bytes());
    let length = length.unwrap_or(u64::MAX).to_le_bytes();
    let bytes: &[u8] = match body {
        Source::Kept(bytes) => bytes,
        Source::Arriving { .. } => &[],
    };
    [
        parts.method.as_str().as_bytes(),
        target.as_bytes(),
        service.as_bytes(),
        content_type,
        &length,
        bytes,
    ]
    .into_iter()
    .flat_map(|field| field.iter().copied().chain([0xff]))
    .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
