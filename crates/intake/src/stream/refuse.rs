use {
    std::io::{self, Write},
    tokio::net::TcpStream,
};

/// Answers 503 on a new connection that is refused and closes it, before a request was read. `fields` are further lines
/// of the head, each with its end.
pub fn refuse(stream: TcpStream, fields: &str) -> io::Result<()> {
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n{fields}\r\n"
    );
    // A new connection has room for these bytes; the runtime does not know yet that it can be written to.
    stream.into_std()?.write_all(response.as_bytes())
}
