use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or answer as far as the soak needs it.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub body: String,
}

impl Message {
    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start)?;
    if message.start.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    std::io::Read::read_exact(reader, &mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(message)
}

/// Sends a request and returns the answer.
pub fn call(
    address: SocketAddr,
    request: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let length = body.len();
    write!(
        stream,
        "{request} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n{headers}\r\n{body}"
    )?;
    read(&mut BufReader::new(stream))
}

/// Answers requests until the process ends; the answer is a status and a body. Without an answer the connection ends.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&Message) -> Option<(u16, String)> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || drop(converse(&stream, &*answer)));
        }
    });
    address
}

fn converse(
    stream: &TcpStream,
    answer: &dyn Fn(&Message) -> Option<(u16, String)>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    loop {
        let request = read(&mut reader)?;
        let Some((status, body)) = answer(&request) else {
            return stream.shutdown(Shutdown::Both);
        };
        let length = body.len();
        write!(
            writer,
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        )?;
    }
}
