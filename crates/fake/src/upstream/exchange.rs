use {
    super::{Behaviour, upstream::Busy},
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Largest request head that the stand-in reads.
const MAX_HEAD: usize = 64 << 10;

/// A request as the stand-in reads it.
pub(super) struct Received {
    pub(super) method: String,
    pub(super) target: String,
    headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Received {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub(super) fn head_text(&self) -> String {
        let mut text = format!("{} {}\n", self.method, self.target);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\n"));
        }
        text
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 8192];
    let read = stream.read(&mut part).await?;
    buffer.extend_from_slice(&part[..read]);
    Ok(read > 0)
}

async fn line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(line);
        }
        if buffer.len() > MAX_HEAD || !fill(stream, buffer).await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn exactly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        if !fill(stream, buffer).await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

/// Reads one request; none if the connection ended before it.
pub(super) async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Received>> {
    if buffer.is_empty() && !fill(stream, buffer).await? {
        return Ok(None);
    }
    let first = line(stream, buffer).await?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        let line = line(stream, buffer).await?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let mut received = Received {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    if received.header("transfer-encoding").is_some() {
        loop {
            let size = line(stream, buffer).await?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let part = exactly(stream, buffer, size).await?;
            received.body.extend_from_slice(&part);
            if size > 0 {
                line(stream, buffer).await?;
                continue;
            }
            while !line(stream, buffer).await?.is_empty() {}
            break;
        }
    } else if let Some(length) = received.header("content-length") {
        let length = length.parse().map_err(io::Error::other)?;
        received.body = exactly(stream, buffer, length).await?;
    }
    Ok(Some(received))
}

/// Answers a request. Returns whether the connection stays open.
///
/// The work is over, and `busy` taken, before the end of an echoed answer is written: the caller may use
/// the slot again as soon as it has read that.
pub(super) async fn answer(
    stream: &mut TcpStream,
    received: &Received,
    behaviour: &Behaviour,
    busy: &mut Option<Busy>,
) -> io::Result<bool> {
    let mark = received
        .header("x-attempt-id")
        .map(|id| format!("x-attempt-id: {id}\r\n"))
        .unwrap_or_default();
    let body = body_of(received);
    let length = body.len();
    let whole = |status: u16, mark: &str| {
        let mut bytes =
            format!("HTTP/1.1 {status} Stand-in\r\ncontent-length: {length}\r\n{mark}\r\n")
                .into_bytes();
        if received.method != "HEAD" {
            bytes.extend_from_slice(&body);
        }
        bytes
    };
    let partial = |sent: usize| {
        let mut bytes =
            format!("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n{mark}\r\n").into_bytes();
        bytes.extend(std::iter::repeat_n(b'x', sent));
        bytes
    };
    match behaviour {
        Behaviour::Answer(delay) => {
            pause(*delay).await;
            drop(busy.take());
            stream.write_all(&whole(200, &mark)).await?;
            Ok(true)
        }
        Behaviour::Status(status) => {
            stream.write_all(&whole(*status, &mark)).await?;
            Ok(true)
        }
        Behaviour::Chunked {
            chunks,
            pause: between,
        } => {
            let head = format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n{mark}\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            for _ in 0..*chunks {
                pause(*between).await;
                let mut chunk = b"400\r\n".to_vec();
                chunk.extend([b'c'; 1024]);
                chunk.extend(b"\r\n");
                stream.write_all(&chunk).await?;
            }
            let end = format!("0\r\nx-sum: {}\r\n\r\n", chunks * 1024);
            stream.write_all(end.as_bytes()).await?;
            Ok(true)
        }
        Behaviour::EchoChunked(delay) => {
            pause(*delay).await;
            let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{mark}\r\n");
            stream.write_all(head.as_bytes()).await?;
            for part in body.chunks(length.div_ceil(4).max(1)) {
                let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                chunk.extend_from_slice(part);
                chunk.extend(b"\r\n");
                stream.write_all(&chunk).await?;
            }
            drop(busy.take());
            stream.write_all(b"0\r\n\r\n").await?;
            Ok(true)
        }
        Behaviour::EchoPart(delay) => {
            pause(*delay).await;
            let bytes = whole(200, &mark);
            drop(busy.take());
            stream.write_all(&bytes[..bytes.len() - length / 2]).await?;
            Ok(false)
        }
        Behaviour::Truncate(sent) => {
            stream.write_all(&partial(*sent)).await?;
            Ok(false)
        }
        Behaviour::TruncateChunked => {
            let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{mark}\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(b"5\r\nhello\r\n").await?;
            Ok(false)
        }
        Behaviour::Stall(sent) => {
            stream.write_all(&partial(*sent)).await?;
            until_closed(stream).await;
            Ok(false)
        }
        Behaviour::Garbage => {
            stream
                .write_all(b"\x00\x01 this is not HTTP\r\n\r\n")
                .await?;
            Ok(false)
        }
        Behaviour::CloseEarly => Ok(false),
        Behaviour::CloseAfter => {
            stream.write_all(&whole(200, &mark)).await?;
            Ok(false)
        }
        Behaviour::Silent => {
            until_closed(stream).await;
            Ok(false)
        }
        Behaviour::Duplicate(later) => {
            let mut bytes = whole(200, &mark);
            if later.is_zero() {
                bytes.extend(whole(200, &mark));
                stream.write_all(&bytes).await?;
            } else {
                stream.write_all(&bytes).await?;
                pause(*later).await;
                stream.write_all(&whole(200, &mark)).await?;
            }
            Ok(true)
        }
        Behaviour::DuplicateUnmarked => {
            let bytes = [whole(200, ""), whole(200, "")].concat();
            stream.write_all(&bytes).await?;
            Ok(true)
        }
        Behaviour::Crossed => {
            stream
                .write_all(&whole(200, "x-attempt-id: another\r\n"))
                .await?;
            Ok(true)
        }
        Behaviour::Unframed => {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\n\r\npart of an answer")
                .await?;
            Ok(false)
        }
    }
}

/// The request's own body, or as many bytes as the query `bytes=N` asks for.
fn body_of(received: &Received) -> Vec<u8> {
    received
        .target
        .split_once("bytes=")
        .and_then(|(_, count)| count.parse::<usize>().ok())
        .map_or_else(|| received.body.clone(), |count| vec![b'b'; count])
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

pub(super) async fn until_closed(stream: &mut TcpStream) {
    let mut part = [0; 1024];
    while matches!(stream.read(&mut part).await, Ok(read) if read > 0) {}
}
