use {
    super::Inspect,
    crate::{Connection, Intake, connection::Stage, meter::Reason},
    rustix::net::sockopt,
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::OwnedSemaphorePermit,
        time::{Instant, Sleep, sleep, sleep_until},
    },
};

/// Bytes of empty lines that a client may send after a request without beginning the next one.
const MAX_TRAILING_BYTES: usize = 4;

/// Sent to a client whose head did not end in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A client's connection. Fails when a head does not end in time, counted from its first byte, or when the client takes
/// no byte of an answer for too long.
pub struct Stream {
    io: TcpStream,
    connection: Arc<Connection>,
    intake: Arc<Intake>,
    inspect: Option<Box<dyn Inspect>>,
    /// Bytes of empty lines since the last request.
    trailing: usize,
    /// Begin of a head that is not complete.
    head: Instant,
    head_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Held while the connection has the larger receive buffer.
    large_buffer: Option<OwnedSemaphorePermit>,
}

impl Stream {
    /// Wraps an accepted connection.
    pub fn new(
        io: TcpStream,
        connection: Arc<Connection>,
        intake: Arc<Intake>,
        inspect: Option<Box<dyn Inspect>>,
    ) -> Stream {
        Stream {
            io,
            connection,
            intake,
            inspect,
            trailing: 0,
            head: Instant::now(),
            head_timer: None,
            write_timer: None,
            large_buffer: None,
        }
    }

    /// Gives the connection the larger receive buffer if `read` bytes came at once, about as many as the smaller one
    /// holds, and not too many connections have it.
    fn grow_buffer(&mut self, read: usize) {
        let limits = &self.intake.limits;
        if self.large_buffer.is_some() || read < limits.initial_unread_bytes as usize / 2 {
            return;
        }
        self.large_buffer = self.intake.large_buffers.clone().try_acquire_owned().ok();
        if self.large_buffer.is_some() {
            self.set_buffer(limits.unread_bytes);
        }
    }

    /// Takes the larger receive buffer back after a request.
    fn shrink_buffer(&mut self) {
        if self.large_buffer.take().is_some() {
            self.set_buffer(self.intake.limits.initial_unread_bytes);
        }
    }

    fn set_buffer(&self, bytes: u32) {
        if let Err(error) = sockopt::set_socket_recv_buffer_size(&self.io, bytes as usize) {
            log::debug!("event=receive_buffer_not_changed error=\"{error}\"");
        }
    }

    fn note(&mut self, bytes: &[u8]) {
        if let Some(inspect) = &mut self.inspect {
            inspect.read(bytes);
        }
        if bytes.is_empty() || self.connection.stage() != Stage::Idle {
            return;
        }
        let is_empty_line = bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        if is_empty_line && self.trailing + bytes.len() <= MAX_TRAILING_BYTES {
            self.trailing += bytes.len();
            return;
        }
        self.trailing = 0;
        self.head = Instant::now();
        self.head_timer = None;
        self.connection.set(Stage::Head);
    }

    /// Fails if an incomplete head is late. Bytes that have arrived are read before.
    fn check_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.stage() != Stage::Head {
            self.head_timer = None;
            return Poll::Pending;
        }
        let due = self.head + self.intake.limits.head_time;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep_until(due)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.intake.meter.note(Reason::HeadTime);
        if let Err(error) = self.io.try_write(HEAD_TIMEOUT_RESPONSE) {
            log::debug!("event=refusal_not_sent error=\"{error}\"");
        }
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let stall = self.intake.limits.write_stall;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(stall)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        timer.as_mut().reset(Instant::now() + stall);
        self.intake.meter.note(Reason::WriteStall);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.io).poll_read(cx, buf);
        self.note(&buf.filled()[before..]);
        self.grow_buffer(buf.filled().len() - before);
        match result {
            Poll::Pending => self.check_head(cx),
            Poll::Ready(result) => Poll::Ready(result),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.watch(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.watch(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_flush(cx);
        // hyper flushes the connection after it has written all of the answer.
        if matches!(result, Poll::Ready(Ok(()))) && self.connection.stage() == Stage::Answering {
            self.connection.set(Stage::Idle);
            self.shrink_buffer();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
