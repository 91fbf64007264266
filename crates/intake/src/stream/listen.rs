use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Connections that the kernel queues before they are accepted.
pub(crate) const BACKLOG: u32 = 1024;

/// Listens on an address, on connections that hold about `unread_bytes` which have arrived and are not read. A
/// [`Stream`](super::Stream) gives a connection on which more is sent a larger buffer.
pub fn listen(address: SocketAddr, unread_bytes: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    if let Err(error) = socket.set_recv_buffer_size(unread_bytes) {
        log::warn!("event=receive_buffer_not_set address={address} error=\"{error}\"");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
