use {
    super::{pool::Upstream, socket},
    crate::body::Outgoing,
    hyper::client::conn::http1::SendRequest,
    std::sync::{Arc, Weak},
    tokio::{net::TcpStream, task::AbortHandle, time::Instant},
};

/// A connection in use by one request. Dropped, it is closed; [`Lease::put_back`] keeps it.
pub(crate) struct Lease {
    pub(super) connection: Option<Connection>,
    pub(super) upstream: Arc<Upstream>,
    pub(super) reused: bool,
}

pub(super) struct Connection {
    pub(super) sender: SendRequest<Outgoing>,
    pub(super) socket: Weak<TcpStream>,
    pub(super) born: Instant,
    pub(super) idle_since: Instant,
    pub(super) task: AbortHandle,
}

impl Connection {
    pub(super) fn is_quiet(&self) -> bool {
        !self.sender.is_closed()
            && self
                .socket
                .upgrade()
                .is_some_and(|socket| socket::is_quiet(&socket))
    }
}

impl Lease {
    /// The handle for sending the request.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<Outgoing>> {
        self.connection
            .as_mut()
            .map(|connection| &mut connection.sender)
    }

    /// Whether the connection carried a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection for the next request.
    pub(crate) fn put_back(mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_since = Instant::now();
            self.upstream.keep(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
    }
}
