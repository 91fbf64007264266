use {
    super::{Answer, Attempts, Call, Error, Seen, Settings, Step, Verdict, call::Message},
    bytes::Bytes,
    http::{Request, StatusCode, Uri, header, uri::Scheme},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client as Http, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Largest accepted answer in bytes. The list of 600 jobs a day over a week is below 6 MB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Longest shown reason of a failure, in characters.
const MAX_REASON_CHARS: usize = 400;

/// Calls instances in turn until one gives a final answer.
#[derive(Clone, Debug)]
pub struct Client {
    settings: Settings,
    http: Http<HttpConnector, Full<Bytes>>,
    /// Index of the instance that answered last. Later calls begin there, so that a silent instance
    /// costs the limit of a try only once in a command.
    last: Arc<AtomicUsize>,
}

/// The failure of one try.
struct Failure {
    seen: Seen,
    reason: String,
}

impl Client {
    /// Returns a client. Connections are made by [`Client::send`].
    pub fn new(settings: Settings) -> Client {
        let mut connector = HttpConnector::new();
        // A connect limit below the limit of the try keeps "nothing was sent" certain when an address
        // does not answer at all.
        connector.set_connect_timeout(Some(settings.per_try / 2));
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            // An idle connection may have gone silent; each call opens its own.
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Client {
            settings,
            http,
            last: Arc::default(),
        }
    }

    /// Sends `call` until an instance gives a final answer or the time is over. `progress` hears of
    /// each failure.
    pub async fn send(&self, call: &Call, progress: &mut dyn FnMut(&str)) -> Result<Answer, Error> {
        let Settings {
            instances,
            per_try,
            total,
        } = &self.settings;
        let mut attempts = Attempts::new(
            instances.len(),
            self.last.load(Ordering::Relaxed),
            call.changes,
            *per_try,
            *total,
            Instant::now(),
        );
        let mut reason = "no try was made".to_owned();
        loop {
            match attempts.step(Instant::now()) {
                Step::Try(index, limit) => match self.attempt(call, index, limit).await {
                    Ok(answer) => {
                        self.last.store(index, Ordering::Relaxed);
                        return Ok(Answer {
                            doubt: attempts.in_doubt(),
                            ..answer
                        });
                    }
                    Err(failure) => {
                        attempts.failed(failure.seen);
                        reason = format!("{}: {}", instances[index], failure.reason);
                        progress(&reason);
                    }
                },
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::End(verdict) => {
                    let what = call.what.clone();
                    return Err(match verdict {
                        Verdict::NotRun => Error::NotRun { what, reason },
                        Verdict::Unknown => Error::Unknown { what, reason },
                        Verdict::Unreachable => Error::Unreachable { what, reason },
                    });
                }
            }
        }
    }

    async fn attempt(&self, call: &Call, index: usize, limit: Duration) -> Result<Answer, Failure> {
        match tokio::time::timeout(limit, self.exchange(call, index)).await {
            Ok(result) => result,
            Err(_) => Err(Failure {
                seen: Seen::Lost,
                reason: format!("no complete answer within {:.1} s", limit.as_secs_f64()),
            }),
        }
    }

    async fn exchange(&self, call: &Call, index: usize) -> Result<Answer, Failure> {
        let instance = &self.settings.instances[index];
        let request = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(instance.clone())
            .path_and_query(call.path.as_str())
            .build()
            .and_then(|uri| {
                let builder = Request::builder().method(call.method.clone()).uri(uri);
                let builder = if call.body.is_empty() {
                    builder
                } else {
                    builder.header(header::CONTENT_TYPE, "application/json")
                };
                builder.body(Full::new(call.body.clone()))
            })
            .map_err(|error| Failure {
                seen: Seen::Unconnected,
                reason: error.to_string(),
            })?;
        let response = self.http.request(request).await.map_err(|error| Failure {
            seen: if error.is_connect() {
                Seen::Unconnected
            } else {
                Seen::Lost
            },
            reason: with_causes(&error),
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Failure {
                seen: Seen::Lost,
                reason: format!("the answer is incomplete or too long: {error}"),
            })?
            .to_bytes();
        if is_final(status) {
            return Ok(Answer {
                status,
                body,
                instance: instance.to_string(),
                what: call.what.clone(),
                changes: call.changes,
                doubt: false,
            });
        }
        let (code, message) = match Message::read(&body) {
            Some(read) => (read.error_code, read.message),
            None => (None, "no message".to_owned()),
        };
        Err(Failure {
            seen: if code.as_deref() == Some("NotRun") {
                Seen::NotRun
            } else {
                Seen::Lost
            },
            reason: format!(
                "status {}: {}",
                status.as_u16(),
                burn::printable(&message, MAX_REASON_CHARS)
            ),
        })
    }
}

/// Tells whether another instance would answer the same. Redirections are not followed, since they
/// could lead data to a place that the account does not permit.
fn is_final(status: StatusCode) -> bool {
    status.is_success()
        || (status.is_client_error()
            && status != StatusCode::REQUEST_TIMEOUT
            && status != StatusCode::TOO_MANY_REQUESTS)
}

/// Joins the messages of an error and its causes; hyper's own message alone does not say what failed.
fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(next) = cause {
        text.push_str(": ");
        text.push_str(&next.to_string());
        cause = next.source();
    }
    burn::printable(&text, MAX_REASON_CHARS)
}
