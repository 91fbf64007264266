use {
    super::response::{RETRY_TIME, Response, retry_response},
    crate::{
        Connection, Connections, Intake, Stream, Upload, connection::Stage, meter::Reason, stream,
    },
    futures::future::BoxFuture,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, StatusCode,
        body::{Body as _, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::AbortHandle,
        time,
    },
};

/// Pause after a failed accept. Without it, accept would fail in a busy loop while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Body of a request, not read yet.
pub type Body = Upload<Incoming>;

/// Answers the requests of a [`Server`].
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Requests of different connections are handled concurrently.
    fn handle(&self, request: Request<Body>) -> BoxFuture<'_, Response>;
}

/// HTTP/1.1 server on one address. Dropping it closes its connections but does not stop the listener.
pub struct Server {
    address: SocketAddr,
    close: watch::Sender<bool>,
    connections: Connections,
    listener: AbortHandle,
}

/// What the tasks of a server share.
struct Shared {
    handler: Arc<dyn Handler>,
    intake: Arc<Intake>,
    connections: Connections,
}

impl Server {
    /// Listens on an address and accepts at most `max_connections` at once in a background task.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        intake: Arc<Intake>,
        max_connections: usize,
    ) -> io::Result<Server> {
        let listener = stream::listen(address, intake.limits.initial_unread_bytes)?;
        let address = listener.local_addr()?;
        let (close, closed) = watch::channel(false);
        let connections = Connections::new(max_connections, intake.meter.clone());
        let shared = Shared {
            handler,
            intake,
            connections: connections.clone(),
        };
        let task = tokio::spawn(accept(listener, Arc::new(shared), closed));
        Ok(Server {
            address,
            close,
            connections,
            listener: task.abort_handle(),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Accepts no further connections.
    pub fn stop_listening(&self) {
        self.listener.abort();
    }

    /// Closes each connection after its pending response, or at once if it is idle.
    pub fn close_connections(&self) {
        self.close.send_replace(true);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, closed: watch::Receiver<bool>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match shared.connections.open().await {
            Some(connection) => {
                tokio::spawn(serve(stream, connection, shared.clone(), closed.clone()));
            }
            None => {
                if let Err(error) = stream::refuse(stream, "") {
                    log::debug!("event=refusal_not_sent error=\"{error}\"");
                }
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    connection: Arc<Connection>,
    shared: Arc<Shared>,
    mut closed: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let limits = shared.intake.limits.clone();
    let stream = Stream::new(stream, connection.clone(), shared.intake.clone(), None);
    let service = service_fn(|request| {
        let (shared, connection) = (shared.clone(), connection.clone());
        async move { Ok::<_, Infallible>(answer(request, connection, &shared).await) }
    });
    let http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(limits.head_fields)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(http);
    let result = tokio::select! {
        result = http.as_mut() => result,
        () = connection.closed() => return,
        () = wait_for_close(&mut closed) => {
            http.as_mut().graceful_shutdown();
            tokio::select! {
                result = http => result,
                () = connection.closed() => return,
            }
        }
    };
    if let Err(error) = result {
        if error.is_parse_too_large() {
            shared.intake.meter.note(Reason::HeadSize);
        }
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}

async fn answer(
    request: Request<Incoming>,
    connection: Arc<Connection>,
    shared: &Shared,
) -> Response {
    connection.set(Stage::Working);
    let intake = &shared.intake;
    let request = request.map(|body| Upload::new(body, connection.clone(), intake.clone()));
    let response = shared.handler.handle(request).await;
    let response = hold(response, &connection, intake).await;
    connection.set(Stage::Answering);
    response
}

/// Reserves memory for the body of a response until the client has taken it.
async fn hold(response: Response, connection: &Connection, intake: &Intake) -> Response {
    if response.body().is_end_stream() {
        return response;
    }
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    match intake.hold_answer(body.to_bytes(), connection) {
        Some(bytes) => Response::from_parts(parts, Full::new(bytes)),
        None => retry_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_TIME),
    }
}

async fn wait_for_close(closed: &mut watch::Receiver<bool>) {
    // An error means that the `Server` was dropped, which closes its connections too.
    drop(closed.wait_for(|closed| *closed).await);
}
