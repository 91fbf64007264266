use {
    crate::{body::Reply, deps::Answer},
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    model::request::Ran,
    route::{Reason, Refusal},
    serde::Serialize,
    std::time::Duration,
};

/// An answer made by the request path instead of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    pub(crate) error: String,
    pub(crate) ran: Told,
    pub(crate) retry_after: Option<Duration>,
    /// The first answer of a claimed request, returned instead of a refusal.
    pub(crate) answer: Option<Box<Answer>>,
}

/// What the caller is told about whether the work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Told {
    No,
    Unknown,
    /// It ran to its end, but the answer is not kept.
    #[serde(rename = "ran, answer not kept")]
    NotKept,
}

#[derive(Serialize)]
struct Text<'a> {
    error: &'a str,
    ran: Told,
    retry_after_ms: Option<u64>,
}

impl Refused {
    pub(crate) fn not_run(status: StatusCode, error: impl Into<String>) -> Refused {
        Refused {
            status,
            error: error.into(),
            ran: Told::No,
            retry_after: None,
            answer: None,
        }
    }

    pub(crate) fn unknown(status: StatusCode, error: impl Into<String>) -> Refused {
        Refused {
            status,
            error: error.into(),
            ran: Told::Unknown,
            retry_after: None,
            answer: None,
        }
    }

    pub(crate) fn after(mut self, wait: Duration) -> Refused {
        self.retry_after = Some(wait);
        self
    }

    pub(crate) fn response(&self) -> Response<Reply> {
        if let Some(answer) = &self.answer {
            return first_answer(answer);
        }
        let text = Text {
            error: &self.error,
            ran: self.ran,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        };
        let body = serde_json::to_vec(&text).unwrap_or_default();
        let ran = match self.ran {
            Told::No => "no",
            Told::Unknown => "unknown",
            Told::NotKept => "ran",
        };
        let mut response = Response::new(Reply::Whole(Some(Bytes::from(body))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert("x-ran", HeaderValue::from_static(ran));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Repeats the first answer of a claimed request.
fn first_answer(answer: &Answer) -> Response<Reply> {
    let body = answer
        .body
        .clone()
        .map(Bytes::from)
        .filter(|body| !body.is_empty());
    let mut response = Response::new(Reply::Whole(body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_bytes(value),
        ) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Refused {
        let status = match refusal.reason {
            Reason::Configuration | Reason::Place | Reason::Overload => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Reason::Account => StatusCode::FORBIDDEN,
            Reason::Full => StatusCode::TOO_MANY_REQUESTS,
            Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Reason::Upstream => StatusCode::BAD_GATEWAY,
        };
        let ran = match refusal.ran {
            Ran::No => Told::No,
            Ran::Unknown => Told::Unknown,
        };
        Refused {
            status,
            error: refusal.reason.to_string(),
            ran,
            retry_after: refusal.retry_after,
            answer: None,
        }
    }
}
